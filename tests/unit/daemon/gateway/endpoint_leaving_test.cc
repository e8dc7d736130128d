#include <gtest/gtest.h>

#include <string>

#include "common/strings.h"
#include "support/hosted_world.h"

namespace wagtailshore::hosted_world {
namespace {

constexpr char kLeaving[] = "Server-Leaving: 1\r\n";
// Until a change of the list is known.
constexpr common::Duration kListTime = common::milliseconds(2500);

// What happens after an endpoint has said that it leaves.
enum class Event { kNone, kStoreDown, kListedAsReady, kRelisted, kOlderCopy };

struct LeavingCase {
  const char* name;
  const char* path = "/safe/x";
  int status = 200;
  // Further headers of the answer.
  const char* extra = "";
  Event event = Event::kNone;
};

std::ostream& operator<<(std::ostream& out, const LeavingCase& param) {
  return out << param.name;
}

// A whole answer of an endpoint that leaves.
Reply LeavingAnswer(const Received& request,
                    int status,
                    const std::string& extra) {
  return {.bytes = common::StrCat(
              HeadOf(request, status,
                     common::StrCat(kLeaving, extra, "Content-Length: 2\r\n")),
              "\r\nok")};
}

class LeavingWorld {
 public:
  explicit LeavingWorld(int endpoints)
      : world_(
            {.endpoints = endpoints, .revocation_bound = common::seconds(60)}) {
    world_.Script(Serve);
  }

  HostedWorld& world() { return world_; }
  void List(int64_t born) {
    world_.store().SetEndpoint(
        "e0", HostedWorld::EndpointEntry(world_.endpoint(0).address(), born));
  }
  // Lets the endpoint answer requests until one has reached it.
  void AskUntilReached(const std::string& path) {
    for (int i = 0; i < 100 && reached() == 0; ++i) {
      last_ = world_.Ask({.path = path, .id = common::StrCat("u", i)});
    }
    ASSERT_EQ(reached(), 1U);
  }
  // Number of requests at the endpoint.
  size_t reached() { return world_.endpoint(0).received().size(); }
  const CallerAnswer& last() const { return last_; }
  int AskMany() {
    int served = 0;
    for (int i = 0; i < 20; ++i) {
      served += world_.Ask({.id = common::StrCat("m", ++asked_)}).status == 200
                    ? 1
                    : 0;
    }
    return served;
  }

  static Reply Serve(const Received& request) {
    return request.head.target.starts_with("/stream/")
               ? Stream(request, 0, 3)
               : Plain(request, 200, "ok");
  }

 private:
  HostedWorld world_;
  CallerAnswer last_;
  int asked_ = 0;
};

class EndpointLeavingTest : public testing::TestWithParam<LeavingCase> {};

TEST_P(EndpointLeavingTest, EndpointThatSaidSoGetsNoMoreRequests) {
  const LeavingCase& param = GetParam();
  LeavingWorld leaving(2);
  leaving.world().store().TakeCopy();
  leaving.world().endpoint(0).set_script([&](const Received& request) {
    if (request.head.target.starts_with("/stream/")) {
      return Reply{.bytes = common::StrCat(
                       HeadOf(request, 200,
                              common::StrCat(kLeaving,
                                             "Transfer-Encoding: chunked\r\n")),
                       "\r\n", Events(0, 3), "0\r\n\r\n")};
    }
    return LeavingAnswer(request, param.status, param.extra);
  });
  leaving.AskUntilReached(param.path);
  EXPECT_TRUE(leaving.last().complete);
  switch (param.event) {
    case Event::kNone:
      break;
    case Event::kStoreDown:
      leaving.world().store().set_down(true);
      leaving.world().RunFor(kListTime);
      break;
    case Event::kListedAsReady:
      leaving.List(/*born=*/1);
      leaving.world().RunFor(kListTime);
      break;
    case Event::kRelisted:
      leaving.world().store().RemoveEndpoint("e0");
      leaving.world().RunFor(kListTime);
      leaving.List(/*born=*/1);
      leaving.world().RunFor(kListTime);
      break;
    case Event::kOlderCopy:
      leaving.world().store().RestoreCopy();
      leaving.world().RunFor(kListTime);
      break;
  }
  EXPECT_EQ(leaving.AskMany(), 20);
  EXPECT_EQ(leaving.reached(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    EndpointLeavingTest,
    testing::Values(
        LeavingCase{.name = "Success"},
        LeavingCase{.name = "Stream", .path = "/stream/x"},
        LeavingCase{.name = "Error", .path = "/once/x", .status = 500},
        LeavingCase{.name = "NotFound", .status = 404},
        LeavingCase{.name = "Refusal",
                    .status = 503,
                    .extra = "X-Wagtailshore-Not-Executed: 1\r\n"},
        LeavingCase{.name = "StoreDown", .event = Event::kStoreDown},
        LeavingCase{.name = "ListedAsReady", .event = Event::kListedAsReady},
        LeavingCase{.name = "Relisted", .event = Event::kRelisted},
        LeavingCase{.name = "OlderCopy", .event = Event::kOlderCopy}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(EndpointLeavingEndTest, NewProcessIsUsed) {
  LeavingWorld leaving(1);
  leaving.world().endpoint(0).set_script(
      [](const Received& request) { return LeavingAnswer(request, 200, ""); });
  leaving.AskUntilReached("/safe/x");
  leaving.world().endpoint(0).set_script(LeavingWorld::Serve);
  leaving.List(/*born=*/1000);
  leaving.world().RunFor(kListTime);
  EXPECT_EQ(leaving.AskMany(), 20);
}

TEST(EndpointLeavingEndTest, LastEndpointOfAServiceThatLeavesIsNotAwaited) {
  LeavingWorld leaving(1);
  leaving.world().endpoint(0).set_script(
      [](const Received& request) { return LeavingAnswer(request, 200, ""); });
  leaving.AskUntilReached("/safe/x");
  const common::Time asked = leaving.world().loop().Now();
  const CallerAnswer answer = leaving.world().Ask({.id = "later"});
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.headers.Find("Retry-After"), nullptr);
  EXPECT_LT(leaving.world().loop().Now() - asked, common::milliseconds(200));
  EXPECT_EQ(leaving.reached(), 1U);
}

}  // namespace
}  // namespace wagtailshore::hosted_world
