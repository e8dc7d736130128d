#include <gtest/gtest.h>

#include <future>
#include <string>

#include "support/test_address.h"
#include "transport/peer_link/peer_client.h"
#include "transport/peer_link/peer_server.h"

namespace wagtailshore::peer_link {
namespace {

const std::string kAddress = test_support::TestAddress(17201);

absl::StatusOr<std::string> Exchange(PeerClient& client,
                                     const std::string& request) {
  std::promise<absl::StatusOr<std::string>> promise;
  client.Send(kAddress, request, common::seconds(5),
              [&](auto reply) { promise.set_value(std::move(reply)); });
  return promise.get_future().get();
}

TEST(PeerLinkTest, GivesTheReply) {
  auto server = PeerServer::Start(kAddress, [](std::string_view request) {
    return "re: " + std::string(request);
  });
  ASSERT_TRUE(server.ok()) << server.status();
  PeerClient client;
  const auto reply = Exchange(client, "hello");
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(*reply, "re: hello");
}

// Guards against a server that blocks forever when it is destroyed while idle.
TEST(PeerLinkTest, ServerStopsWhileIdle) {
  constexpr int kRounds = 50;
  for (int round = 0; round < kRounds; ++round) {
    auto server = PeerServer::Start(
        kAddress, [](std::string_view) { return std::string("r"); });
    ASSERT_TRUE(server.ok()) << server.status();
    PeerClient client;
    ASSERT_TRUE(Exchange(client, "q").ok());
  }
}

TEST(PeerLinkTest, AnUnansweredRequestEndsAndTheNextOneWorks) {
  PeerClient client;
  {
    auto silent = PeerServer::Start(
        kAddress, [](std::string_view) { return std::string(); });
    ASSERT_TRUE(silent.ok()) << silent.status();
    std::promise<absl::StatusOr<std::string>> promise;
    client.Send(kAddress, "lost", common::milliseconds(100),
                [&](auto reply) { promise.set_value(std::move(reply)); });
    EXPECT_FALSE(promise.get_future().get().ok());
  }
  auto server = PeerServer::Start(
      kAddress, [](std::string_view) { return std::string("back"); });
  ASSERT_TRUE(server.ok()) << server.status();
  const auto reply = Exchange(client, "again");
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(*reply, "back");
}

}  // namespace
}  // namespace wagtailshore::peer_link
