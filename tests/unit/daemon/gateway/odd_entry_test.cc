#include <gtest/gtest.h>

#include "common/strings.h"
#include "support/hosted_world.h"

// Rows that other writers left in the tables that a gateway reads.
namespace wagtailshore::hosted_world {
namespace {

// As deep as a row of the store's maximum size allows.
constexpr size_t kDepth = 60'000;

std::string Repeat(std::string_view text, size_t times) {
  std::string out;
  for (size_t i = 0; i < times; ++i) {
    out += text;
  }
  return out;
}

std::string NestedJson() {
  return Repeat("[", kDepth) + Repeat("]", kDepth);
}

// One array in another, each of one element.
std::string NestedMsgpack() {
  return Repeat("\x91", kDepth) + "\x01";
}

// The entry of a sound endpoint at the address, with one field replaced.
std::string EntryWith(const std::string& address,
                      std::string_view field,
                      std::string_view value) {
  const nlohmann::json entry = HostedWorld::EndpointEntry(address);
  std::string text = "{";
  for (const auto& [name, sound] : entry.items()) {
    common::StrAppend(&text, text.size() > 1 ? "," : "", "\"", name,
                      "\":", name == field ? std::string(value) : sound.dump());
  }
  if (!entry.contains(field)) {
    common::StrAppend(&text, ",\"", field, "\":", value);
  }
  return text + "}";
}

struct OddCase {
  const char* name;
  const char* table = "servers";
  const char* key = "odd";
  // A field of a sound entry and its value; or else the whole value of the row.
  const char* field = "";
  std::string value;
};

std::ostream& operator<<(std::ostream& out, const OddCase& param) {
  return out << param.name;
}

class OddEntryTest : public testing::TestWithParam<OddCase> {};

// Guards against a process that ends, no longer follows the list, or sends work
// to an entry that names no endpoint, because of one row of another writer.
TEST_P(OddEntryTest, OthersAreServedAndFollowed) {
  HostedWorld world(2);
  const OddCase& param = GetParam();
  // At the address of a live endpoint, so that it also shows what the entry
  // does to others.
  const std::string value =
      *param.field == '\0'
          ? param.value
          : EntryWith(world.endpoint(0).address(), param.field, param.value);
  world.store().SetRow(param.table, param.key, value);
  // Read by a gateway that runs and by one that starts.
  world.RunFor(common::milliseconds(1700));
  world.RestartGateway(0);
  const auto ask_many = [&](const char* prefix) {
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(world.Ask({.path = "/once/x", .id = common::StrCat(prefix, i)})
                    .status,
                200);
    }
  };
  ask_many("a");
  EXPECT_GT(world.endpoint(0).received().size(), 0U);
  for (const Received& received : world.endpoint(0).received()) {
    const std::string* expected =
        received.head.headers.Find("X-Wagtailshore-Expect-Instance");
    ASSERT_NE(expected, nullptr);
    EXPECT_EQ(*expected, "e0");
  }
  world.store().RemoveEndpoint("e0");
  world.RunFor(common::milliseconds(1700));
  const size_t before = world.endpoint(0).received().size();
  ask_many("b");
  EXPECT_EQ(world.endpoint(0).received().size(), before);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    OddEntryTest,
    testing::Values(
        OddCase{.name = "Nested", .value = NestedJson()},
        OddCase{.name = "NestedField", .field = "extra", .value = NestedJson()},
        OddCase{.name = "NestedAddress",
                .field = "address",
                .value = NestedJson()},
        OddCase{.name = "PortOutOfRange",
                .field = "address",
                .value = "\"127.0.0.1:70000\""},
        OddCase{.name = "NoPort", .field = "address", .value = "\"127.0.0.1\""},
        OddCase{.name = "HugeSlots", .field = "slots", .value = "1e999"},
        OddCase{.name = "SlotsBeyondAllIntegers",
                .field = "slots",
                .value = "18446744073709551615"},
        OddCase{.name = "NegativeSlots", .field = "slots", .value = "-4"},
        OddCase{.name = "StartBeyondAllIntegers",
                .field = "born",
                .value = "18446744073709551615"},
        OddCase{.name = "StartIsAText", .field = "born", .value = "\"x\""},
        OddCase{.name = "StartIsAFraction", .field = "born", .value = "1e30"},
        OddCase{.name = "UnknownServiceThatStartedLater",
                .field = "service\":\"none\",\"born",
                .value = "99"},
        OddCase{.name = "KeyWithALineBreak",
                .key = "odd\r\nX-Other: 1",
                .field = "born",
                .value = "99"},
        OddCase{.name = "EmptyKey", .key = "", .field = "born", .value = "99"},
        OddCase{.name = "NestedCrash",
                .table = "crashes",
                .key = "d/e0/1#1",
                .value = NestedMsgpack()},
        OddCase{.name = "CrashAtNoTime",
                .table = "crashes",
                .key = "d/e0/1#1",
                .value = "\x82\xaestore_time_ms\xcf\x7f\xff\xff\xff\xff\xff"
                         "\xff\xff\xaf"
                         "failure_domain\xa1z"},
        OddCase{.name = "GatewayAtNoTime",
                .table = "gateways",
                .key = "odd",
                .value = "9223372036854775807"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace wagtailshore::hosted_world
