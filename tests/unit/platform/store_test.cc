#include "platform/store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

namespace wagtailshore::platform {
namespace {

using nlohmann::json;

json RowOf(const std::string& key, const std::string& value, int revision) {
  return {{"table", "op"},
          {"part", ""},
          {"key", key},
          {"value", absl::Base64Escape(value)},
          {"row_version", revision}};
}

http_channel::CallAnswer AnswerOf(const json& rows) {
  return {
      .status = 200,
      .body = json{{"rows", rows}, {"row_version", 90}, {"now_ms", 1}}.dump()};
}

// A feed returns every change in order; the last change of the configuration
// must win.
TEST(StoreTest, LatestOfSeveralChangesIsTheConfiguration) {
  const auto rows =
      DecodeRows(AnswerOf({RowOf("config", "old", 24), RowOf("other", "x", 25),
                           RowOf("config", "new", 28)}));
  ASSERT_TRUE(rows.ok());
  EXPECT_EQ(rows->revision, 90U);
  ASSERT_NE(FindConfiguration(*rows), nullptr);
  EXPECT_EQ(FindConfiguration(*rows)->value, "new");
}

TEST(StoreTest, OneCallWritesAndRemovesRowsOfATable) {
  const http_channel::Call call = ChangeRowsCall(
      SystemTable::kCrashes, {{.key = "new", .value = "text"}}, {"old"});
  EXPECT_EQ(call.target, "/rows-tx");
  const json body = json::parse(call.body);
  EXPECT_EQ(body.at("expected_revision"), json::array());
  EXPECT_EQ(body.at("puts"), json::array({{{"table", "crashes"},
                                           {"part", ""},
                                           {"key", "new"},
                                           {"value", "dGV4dA=="}}}));
  EXPECT_EQ(
      body.at("remove"),
      json::array({{{"table", "crashes"}, {"part", ""}, {"key", "old"}}}));
}

TEST(StoreTest, TableIsReadByPagesAndAwaited) {
  EXPECT_EQ(ReadTableCall(SystemTable::kCrashes, "a/b#0").target,
            "/rows-get?table=crashes&part=&limit=500&start_key=a%2fb%230");
  EXPECT_EQ(AwaitTableCall(SystemTable::kCrashes, 7, common::seconds(8)).target,
            "/rows-feed?table=crashes&after_revision=7&wait_ms=8000");
}

TEST(StoreTest, UnreadableRowsAreLeftOut) {
  json malformed = RowOf("a", "x", 1);
  malformed["value"] = "%%%";
  const auto rows =
      DecodeRows(AnswerOf({malformed, 7, RowOf("b", "y", 2), json::object()}));
  ASSERT_TRUE(rows.ok());
  ASSERT_EQ(rows->rows.size(), 1U);
  EXPECT_EQ(rows->rows.front().key, "b");
}

struct StatusCase {
  int status;
  absl::StatusCode code;
};

class RowsStatusTest : public testing::TestWithParam<StatusCase> {};

TEST_P(RowsStatusTest, RefusalsAreToldApart) {
  EXPECT_EQ(DecodeRows(http_channel::CallAnswer{.status = GetParam().status,
                                                .body = "{}"})
                .status()
                .code(),
            GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    RowsStatusTest,
    testing::Values(StatusCase{200, absl::StatusCode::kOk},
                    StatusCase{410, absl::StatusCode::kFailedPrecondition},
                    StatusCase{429, absl::StatusCode::kUnavailable},
                    StatusCase{503, absl::StatusCode::kUnavailable}));

TEST(StoreTest, WriteOutcomes) {
  EXPECT_TRUE(DecodeWriteResult(http_channel::CallAnswer{.status = 200}).ok());
  EXPECT_TRUE(absl::IsFailedPrecondition(
      DecodeWriteResult(http_channel::CallAnswer{.status = 412})));
  EXPECT_TRUE(absl::IsUnavailable(
      DecodeWriteResult(http_channel::CallAnswer{.status = 503})));
  EXPECT_TRUE(absl::IsUnavailable(
      DecodeWriteResult(absl::DeadlineExceededError("no answer"))));
}

TEST(StoreTest, ConfigurationIsDecoded) {
  const json text = {
      {"version", 7},
      {"routes",
       {{{"name", "r"},
         {"host", "h"},
         {"prefix", "/p/"},
         {"route_kind", "streaming"},
         {"timeout_ms", 8000},
         {"traffic_split",
          {{{"service", "a"}, {"weight", 90}},
           {{"service", "b"}, {"weight", 10}}}},
         {"max_attempts", 2},
         {"stream_resume", true}}}},
      {"services",
       {{{"name", "a"},
         {"engine", {{"sets", 4}, {"experts", 72}, {"placements", 8}}}}}},
      {"limits", {{"max_body_bytes", 1000}, {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "t"}, {"api_keys", {"k"}}, {"priority", 1}}}}};
  const auto configuration = DecodeConfiguration(text.dump());
  ASSERT_TRUE(configuration.ok()) << configuration.status().message();
  EXPECT_EQ(configuration->version, 7U);
  const serving::Route& route = configuration->routes.front();
  EXPECT_EQ(route.services.size(), 2U);
  EXPECT_TRUE(serving::MayRepeat(route));
  EXPECT_EQ(configuration->services.front().engine->layers, 4);
  EXPECT_EQ(configuration->services.front().engine->expert_slots, 8);
  EXPECT_EQ(configuration->limits.max_body_bytes, 1000U);
  EXPECT_EQ(configuration->customers.front().priority, 1);
}

struct BadTextCase {
  const char* name;
  const char* text;
};

class BadConfigurationTest : public testing::TestWithParam<BadTextCase> {};

TEST_P(BadConfigurationTest, IsRefused) {
  EXPECT_TRUE(
      absl::IsInvalidArgument(DecodeConfiguration(GetParam().text).status()));
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    BadConfigurationTest,
    testing::Values(
        BadTextCase{"NoJson", "{"},
        BadTextCase{"List", "[]"},
        BadTextCase{"NoVersion", "{}"},
        BadTextCase{"NegativeVersion", R"({"version":-1})"},
        BadTextCase{"RouteWithoutService",
                    R"({"version":1,"routes":[{"host":"h","prefix":"/",)"
                    R"("route_kind":"safe"}]})"},
        BadTextCase{"UnknownKind",
                    R"({"version":1,"routes":[{"host":"h","prefix":"/",)"
                    R"("route_kind":"odd","service":"s"}]})"}),
    [](const auto& info) { return std::string(info.param.name); });

class BadEndpointTest : public testing::TestWithParam<BadTextCase> {};

// Other writers may write malformed entries into the list, which must not be
// taken for endpoints.
TEST_P(BadEndpointTest, NamesNoEndpoint) {
  EXPECT_FALSE(DecodeEndpoint({.key = "i", .value = GetParam().text}).ok());
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    BadEndpointTest,
    testing::Values(
        BadTextCase{"Bytes", "\xff\xfe"},
        BadTextCase{"UnknownState",
                    R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":1,"state":"odd"})"},
        BadTextCase{"NumberForText",
                    R"({"service":3,"address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":1,"state":"ready"})"},
        BadTextCase{"PortOutOfRange",
                    R"({"service":"s","address":"1.2.3.4:70000","zone":"z",)"
                    R"("slots":1,"state":"ready"})"},
        BadTextCase{"NoPort",
                    R"({"service":"s","address":"1.2.3.4","zone":"z",)"
                    R"("slots":1,"state":"ready"})"},
        BadTextCase{"HostName",
                    R"({"service":"s","address":"host:80","zone":"z",)"
                    R"("slots":1,"state":"ready"})"},
        BadTextCase{"NoSlots",
                    R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":0,"state":"ready"})"},
        BadTextCase{"SlotsBeyondAllIntegers",
                    R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":18446744073709551615,"state":"ready"})"},
        BadTextCase{"NumberOverflow",
                    R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":1,"state":"ready","x":1e999})"},
        BadTextCase{
            "StartBeyondAllIntegers",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
            R"("slots":1,"state":"ready","born":18446744073709551615})"},
        BadTextCase{"StartIsAText",
                    R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":1,"state":"ready","born":"x"})"},
        BadTextCase{"NoAddress", R"({"service":"s","zone":"z","slots":1,)"
                                 R"("state":"ready"})"}),
    [](const auto& info) { return std::string(info.param.name); });

// Far deeper than a row can be.
TEST(StoreTest, DeeplyNestedEntryNamesNoEndpoint) {
  constexpr size_t kDepth = 2'000'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  EXPECT_FALSE(DecodeEndpoint({.key = "i", .value = nested}).ok());
  EXPECT_FALSE(
      DecodeEndpoint({.key = "i", .value = "{\"address\":" + nested + "}"})
          .ok());
}

class BadKeyTest : public testing::TestWithParam<const char*> {};

// Guards against bytes of another writer in a header of forwarded requests.
TEST_P(BadKeyTest, NamesNoEndpoint) {
  EXPECT_FALSE(
      DecodeEndpoint({.key = GetParam(),
                      .value = R"({"service":"s","address":"1.2.3.4:5",)"
                               R"("zone":"z","slots":1,"state":"ready"})"})
          .ok());
}

INSTANTIATE_TEST_SUITE_P(Keys,
                         BadKeyTest,
                         testing::Values("", "a b", "a\r\nX: 1", "a\xc3\xa9"));

TEST(StoreTest, EndpointIsDecoded) {
  const auto record = DecodeEndpoint(
      {.key = "i-1",
       .value = R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                R"("slots":12,"state":"draining","born":99})"});
  ASSERT_TRUE(record.ok());
  EXPECT_TRUE(record->draining);
  EXPECT_EQ(record->started_at_ms, 99);
  EXPECT_EQ(record->id, "i-1");
}

}  // namespace
}  // namespace wagtailshore::platform
