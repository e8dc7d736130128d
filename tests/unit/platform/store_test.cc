#include "platform/store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

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

// Stands for a field that is left out.
const json kAbsent = json(json::value_t::discarded);

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

TEST(StoreTest, UnreadableRowsAreListed) {
  json malformed = RowOf("a", "x", 1);
  malformed["value"] = "%%%";
  const auto rows =
      DecodeRows(AnswerOf({malformed, 7, RowOf("b", "y", 2), json::object()}));
  ASSERT_TRUE(rows.ok());
  ASSERT_EQ(rows->rows.size(), 1U);
  EXPECT_EQ(rows->rows.front().key, "b");
  EXPECT_EQ(rows->unreadable, std::vector<std::string>({"a", "", ""}));
}

// Guards against an answer from before the store went back that passes for one
// of a store without eras.
TEST(StoreTest, UnreadableEraMakesTheAnswerMalformed) {
  for (const char* era : {"", "x", "-1", "1.5"}) {
    http_channel::CallAnswer answer = AnswerOf(json::array());
    answer.headers.Add("Store-Era", era);
    EXPECT_TRUE(absl::IsInvalidArgument(DecodeRows(answer).status())) << era;
  }
}

// A field of a row and a value that is not the field's.
struct RowFieldCase {
  const char* name;
  const char* field;
  json value;
};

class RowFieldTest : public testing::TestWithParam<RowFieldCase> {};

// Guards against a row of the configuration that passes for none, so that the
// one before stays confirmed.
TEST_P(RowFieldTest, MakesTheRowUnreadable) {
  json row = RowOf("config", "x", 1);
  if (GetParam().value.is_discarded()) {
    row.erase(GetParam().field);
  } else {
    row[GetParam().field] = GetParam().value;
  }
  const auto rows = DecodeRows(AnswerOf(json::array({row})));
  ASSERT_TRUE(rows.ok());
  EXPECT_TRUE(rows->rows.empty());
  EXPECT_TRUE(HasUnreadableConfiguration(*rows));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    RowFieldTest,
    testing::Values(RowFieldCase{"KeyAbsent", "key", kAbsent},
                    RowFieldCase{"KeyNull", "key", nullptr},
                    RowFieldCase{"KeyNumber", "key", 3},
                    RowFieldCase{"ValueAbsent", "value", kAbsent},
                    RowFieldCase{"ValueNull", "value", nullptr},
                    RowFieldCase{"ValueNotBase64", "value", "%"},
                    RowFieldCase{"RevisionAbsent", "row_version", kAbsent},
                    RowFieldCase{"RevisionText", "row_version", "4"},
                    RowFieldCase{"RevisionNegative", "row_version", -4},
                    RowFieldCase{"DeletedText", "deleted", "no"},
                    RowFieldCase{"DeletedNull", "deleted", nullptr}),
    [](const auto& info) { return std::string(info.param.name); });

class AnswerFieldTest : public testing::TestWithParam<RowFieldCase> {};

// Guards against an answer that cannot be read and passes for an empty table:
// it would confirm the configuration and end every endpoint.
TEST_P(AnswerFieldTest, MakesTheAnswerMalformed) {
  json body = {{"rows", json::array()}, {"row_version", 90}, {"now_ms", 1}};
  if (GetParam().value.is_discarded()) {
    body.erase(GetParam().field);
  } else {
    body[GetParam().field] = GetParam().value;
  }
  EXPECT_TRUE(absl::IsInvalidArgument(
      DecodeRows(http_channel::CallAnswer{.status = 200, .body = body.dump()})
          .status()));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    AnswerFieldTest,
    testing::Values(RowFieldCase{"RowsAbsent", "rows", kAbsent},
                    RowFieldCase{"RowsNull", "rows", nullptr},
                    RowFieldCase{"RowsObject", "rows", json::object()},
                    RowFieldCase{"RowsByKey", "rows", {{"i", {{"key", "i"}}}}},
                    RowFieldCase{"RevisionAbsent", "row_version", kAbsent},
                    RowFieldCase{"RevisionText", "row_version", "90"},
                    RowFieldCase{"TimeText", "now_ms", "1"},
                    RowFieldCase{"TimeNegative", "now_ms", -1},
                    RowFieldCase{"MoreNull", "has_more", nullptr},
                    RowFieldCase{"MoreText", "has_more", "false"},
                    RowFieldCase{"MoreBehindNoRow", "has_more", true}),
    [](const auto& info) { return std::string(info.param.name); });

// Rows are certain without the store's time; what is worked out in that time is
// not.
TEST(StoreTest, TimeMayBeAbsentWhereItIsNotNeeded) {
  json body = {{"rows", {RowOf("config", "x", 1)}}, {"row_version", 90}};
  http_channel::CallAnswer answer{.status = 200, .body = body.dump()};
  const auto rows = DecodeRows(answer);
  ASSERT_TRUE(rows.ok()) << rows.status().message();
  EXPECT_EQ(rows->rows.size(), 1U);
  EXPECT_FALSE(rows->store_time.has_value());
  EXPECT_TRUE(absl::IsInvalidArgument(DecodeTimedRows(answer).status()));
  body["now_ms"] = 12.5;
  answer.body = body.dump();
  EXPECT_EQ(DecodeTimedRows(answer)->store_time,
            std::chrono::microseconds(12500));
}

struct StatusCase {
  int status;
  absl::StatusCode code;
};

class RowsStatusTest : public testing::TestWithParam<StatusCase> {};

TEST_P(RowsStatusTest, RefusalsAreToldApart) {
  http_channel::CallAnswer answer = AnswerOf(json::array());
  answer.status = GetParam().status;
  EXPECT_EQ(DecodeRows(answer).status().code(), GetParam().code);
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
        BadTextCase{"TextVersion", R"({"version":"2"})"},
        BadTextCase{"NullVersion", R"({"version":null})"},
        BadTextCase{"NullRoutes", R"({"version":1,"routes":null})"},
        BadTextCase{"RoutesByName", R"({"version":1,"routes":{}})"},
        BadTextCase{"RoutesByHost",
                    R"({"version":1,"routes":{"h":[{"host":"h","prefix":"/",)"
                    R"("route_kind":"safe","service":"s"}]}})"},
        BadTextCase{"NullRoute", R"({"version":1,"routes":[null]})"},
        BadTextCase{"RouteWithoutHost",
                    R"({"version":1,"routes":[{"prefix":"/",)"
                    R"("route_kind":"safe","service":"s"}]})"},
        BadTextCase{"PrefixNumber",
                    R"({"version":1,"routes":[{"host":"h","prefix":1,)"
                    R"("route_kind":"safe","service":"s"}]})"}),
    [](const auto& info) { return std::string(info.param.name); });

// A field of a route and a value that does not say for certain where requests
// go, or whether they may be repeated.
class ClosedRouteTest : public testing::TestWithParam<RowFieldCase> {};

// Guards against one odd route that makes the whole configuration unreadable,
// and against requests of such a route that go where nobody said.
TEST_P(ClosedRouteTest, ClosesThatRouteOnly) {
  const json route = {
      {"host", "h"}, {"prefix", "/"}, {"route_kind", "safe"}, {"service", "s"}};
  json odd = route;
  odd["prefix"] = "/odd/";
  if (GetParam().value.is_discarded()) {
    odd.erase(GetParam().field);
  } else {
    odd[GetParam().field] = GetParam().value;
  }
  const json text = {{"version", 1},
                     {"routes", {route, odd}},
                     {"tenants", {{{"name", "c"}, {"api_keys", {"k"}}}}}};
  const auto configuration = DecodeConfiguration(text.dump());
  ASSERT_TRUE(configuration.ok()) << configuration.status().message();
  ASSERT_EQ(configuration->routes.size(), 2U);
  EXPECT_EQ(configuration->routes.front().closed_by, "");
  EXPECT_THAT(configuration->routes.back().closed_by,
              testing::StartsWith("/routes/1"));
  EXPECT_EQ(configuration->routes.back().prefix, "/odd/");
  EXPECT_TRUE(configuration->needs_keys);
  ASSERT_FALSE(configuration->findings.empty());
  EXPECT_THAT(configuration->findings.front().place,
              testing::StartsWith("/routes/1"));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    ClosedRouteTest,
    testing::Values(
        RowFieldCase{"KindUnknown", "route_kind", "odd"},
        RowFieldCase{"KindAbsent", "route_kind", kAbsent},
        RowFieldCase{"KindNull", "route_kind", nullptr},
        RowFieldCase{"ServiceAbsent", "service", kAbsent},
        RowFieldCase{"ServiceNumber", "service", 7},
        RowFieldCase{"ServiceEmpty", "service", ""},
        RowFieldCase{"SplitNull", "traffic_split", nullptr},
        RowFieldCase{"SplitByService", "traffic_split", {{"s", 1}}},
        RowFieldCase{"SplitOfNoService", "traffic_split",
                     json::array({{{"weight", 1}}})},
        RowFieldCase{"WeightText", "traffic_split",
                     json::array({{{"service", "s"}, {"weight", "0"}}})},
        RowFieldCase{"WeightNull", "traffic_split",
                     json::array({{{"service", "s"}, {"weight", nullptr}}})}),
    [](const auto& info) { return std::string(info.param.name); });

// A field of a configuration, by its JSON pointer, a value for it, and what
// follows: who has a valid key, and whether the route is open to all.
struct FieldCase {
  const char* name;
  const char* pointer;
  json value;
  bool needs_keys = true;
  std::vector<std::string> keys;
  bool open_to_all = false;
  bool resumable = true;
  size_t findings = 0;
};

std::ostream& operator<<(std::ostream& out, const FieldCase& param) {
  return out << param.name;
}

class ConfigurationFieldTest : public testing::TestWithParam<FieldCase> {};

// Guards against a malformed field that counts as absent: it must not admit
// anybody whom a valid one would not.
TEST_P(ConfigurationFieldTest, AdmitsNobodyWhenInDoubt) {
  const FieldCase& param = GetParam();
  json text = {{"version", 1},
               {"routes",
                {{{"host", "h"},
                  {"prefix", "/"},
                  {"route_kind", "streaming"},
                  {"service", "s"},
                  {"public", false},
                  {"stream_resume", true}}}},
               {"tenants", {{{"name", "c"}, {"api_keys", {"k"}}}}}};
  const json::json_pointer pointer(param.pointer);
  if (param.value.is_discarded()) {
    text.at(pointer.parent_pointer()).erase(pointer.back());
  } else {
    text[pointer] = param.value;
  }
  const auto configuration = DecodeConfiguration(text.dump());
  ASSERT_TRUE(configuration.ok()) << configuration.status().message();
  EXPECT_EQ(configuration->needs_keys, param.needs_keys);
  std::vector<std::string> keys;
  for (const serving::Customer& customer : configuration->customers) {
    keys.insert(keys.end(), customer.keys.begin(), customer.keys.end());
  }
  EXPECT_EQ(keys, param.keys);
  EXPECT_EQ(configuration->routes.front().open_to_all, param.open_to_all);
  EXPECT_EQ(configuration->routes.front().resumable, param.resumable);
  EXPECT_EQ(configuration->findings.size(), param.findings)
      << common::FormatFindings(configuration->findings);
}

INSTANTIATE_TEST_SUITE_P(
    Shapes,
    ConfigurationFieldTest,
    testing::Values(FieldCase{"CustomersAbsent", "/tenants", kAbsent, false},
                    FieldCase{"CustomersEmpty", "/tenants", json::array()},
                    FieldCase{.name = "CustomersNull",
                              .pointer = "/tenants",
                              .value = nullptr,
                              .findings = 1},
                    FieldCase{.name = "CustomersByName",
                              .pointer = "/tenants",
                              .value = json::object(),
                              .findings = 1},
                    FieldCase{.name = "CustomersText",
                              .pointer = "/tenants",
                              .value = "",
                              .findings = 1},
                    FieldCase{.name = "CustomersFalse",
                              .pointer = "/tenants",
                              .value = false,
                              .findings = 1},
                    FieldCase{.name = "CustomersNumber",
                              .pointer = "/tenants",
                              .value = 0,
                              .findings = 1},
                    FieldCase{.name = "CustomerNull",
                              .pointer = "/tenants/0",
                              .value = nullptr,
                              .findings = 3},
                    FieldCase{"KeysAbsent", "/tenants/0/api_keys", kAbsent},
                    FieldCase{"KeysEmpty", "/tenants/0/api_keys",
                              json::array()},
                    FieldCase{.name = "KeysNull",
                              .pointer = "/tenants/0/api_keys",
                              .value = nullptr,
                              .findings = 1},
                    FieldCase{.name = "KeysByName",
                              .pointer = "/tenants/0/api_keys",
                              .value = {{"k", true}},
                              .findings = 1},
                    FieldCase{.name = "KeyNull",
                              .pointer = "/tenants/0/api_keys/0",
                              .value = nullptr,
                              .findings = 1},
                    FieldCase{.name = "KeyEmpty",
                              .pointer = "/tenants/0/api_keys/0",
                              .value = "",
                              .findings = 1},
                    FieldCase{.name = "KeyNumber",
                              .pointer = "/tenants/0/api_keys/0",
                              .value = 7,
                              .findings = 1},
                    FieldCase{.name = "NameAbsent",
                              .pointer = "/tenants/0/name",
                              .value = kAbsent,
                              .findings = 2},
                    FieldCase{.name = "NameEmpty",
                              .pointer = "/tenants/0/name",
                              .value = "",
                              .findings = 1},
                    FieldCase{.name = "NameNull",
                              .pointer = "/tenants/0/name",
                              .value = nullptr,
                              .findings = 2},
                    FieldCase{.name = "PriorityText",
                              .pointer = "/tenants/0/priority",
                              .value = "1",
                              .keys = {"k"},
                              .findings = 1},
                    FieldCase{.name = "OpenAbsent",
                              .pointer = "/routes/0/public",
                              .value = kAbsent,
                              .keys = {"k"}},
                    FieldCase{.name = "OpenTrue",
                              .pointer = "/routes/0/public",
                              .value = true,
                              .keys = {"k"},
                              .open_to_all = true},
                    FieldCase{.name = "OpenNull",
                              .pointer = "/routes/0/public",
                              .value = nullptr,
                              .keys = {"k"},
                              .findings = 1},
                    FieldCase{.name = "OpenText",
                              .pointer = "/routes/0/public",
                              .value = "true",
                              .keys = {"k"},
                              .findings = 1},
                    FieldCase{.name = "OpenNumber",
                              .pointer = "/routes/0/public",
                              .value = 1,
                              .keys = {"k"},
                              .findings = 1},
                    FieldCase{.name = "ResumeText",
                              .pointer = "/routes/0/stream_resume",
                              .value = "true",
                              .keys = {"k"},
                              .resumable = false,
                              .findings = 1},
                    FieldCase{.name = "AttemptsNull",
                              .pointer = "/routes/0/max_attempts",
                              .value = nullptr,
                              .keys = {"k"},
                              .findings = 1},
                    FieldCase{.name = "LimitsNull",
                              .pointer = "/limits",
                              .value = nullptr,
                              .keys = {"k"},
                              .findings = 1},
                    FieldCase{.name = "ServicesNull",
                              .pointer = "/services",
                              .value = nullptr,
                              .keys = {"k"},
                              .findings = 1}),
    [](const auto& info) { return std::string(info.param.name); });

// A customer or a key in place of its list.
INSTANTIATE_TEST_SUITE_P(
    SingleItems,
    ConfigurationFieldTest,
    testing::Values(
        FieldCase{.name = "Customer",
                  .pointer = "/tenants",
                  .value = {{"name", "c"}, {"api_keys", {"a"}}},
                  .keys = {"a"}},
        FieldCase{.name = "CustomerWithoutKeys",
                  .pointer = "/tenants",
                  .value = {{"name", "c"}}},
        FieldCase{.name = "CustomerWithoutName",
                  .pointer = "/tenants",
                  .value = {{"api_keys", {"a"}}},
                  .findings = 1},
        FieldCase{.name = "CustomerNameNumber",
                  .pointer = "/tenants",
                  .value = {{"name", 7}, {"api_keys", {"a"}}},
                  .findings = 1},
        FieldCase{.name = "CustomerNameEmpty",
                  .pointer = "/tenants",
                  .value = {{"name", ""}, {"api_keys", {"a"}}},
                  .findings = 1},
        FieldCase{.name = "CustomerKeyNull",
                  .pointer = "/tenants",
                  .value = {{"name", "c"}, {"api_keys", {"a", nullptr}}},
                  .keys = {"a"},
                  .findings = 1},
        FieldCase{.name = "CustomersTable",
                  .pointer = "/tenants",
                  .value = {{"c", {{"api_keys", {"a"}}}}},
                  .findings = 1},
        FieldCase{.name = "CustomersColumns",
                  .pointer = "/tenants",
                  .value = {{"name", json::array({"c"})},
                            {"api_keys", json::array({json::array({"a"})})}},
                  .findings = 1},
        FieldCase{.name = "Key",
                  .pointer = "/tenants/0/api_keys",
                  .value = "a",
                  .keys = {"a"}},
        FieldCase{.name = "KeyEmpty",
                  .pointer = "/tenants/0/api_keys",
                  .value = "",
                  .findings = 1},
        FieldCase{.name = "KeyNumber",
                  .pointer = "/tenants/0/api_keys",
                  .value = 7,
                  .findings = 1}),
    [](const auto& info) { return std::string(info.param.name); });

// A configuration in which single items stand in place of their lists.
TEST(StoreTest, SingleItemsStandForTheirLists) {
  const auto configuration = DecodeConfiguration(
      R"({"version":1,"routes":{"host":"h","prefix":"/","route_kind":"safe",)"
      R"("traffic_split":{"service":"s","weight":3}},)"
      R"("services":{"name":"s"},"tenants":{"name":"c","api_keys":"k"}})");
  ASSERT_TRUE(configuration.ok()) << configuration.status().message();
  EXPECT_TRUE(configuration->findings.empty())
      << common::FormatFindings(configuration->findings);
  ASSERT_EQ(configuration->routes.size(), 1U);
  ASSERT_EQ(configuration->routes.front().services.size(), 1U);
  EXPECT_EQ(configuration->routes.front().services.front().service, "s");
  ASSERT_EQ(configuration->services.size(), 1U);
  EXPECT_EQ(configuration->services.front().name, "s");
  ASSERT_EQ(configuration->customers.size(), 1U);
  EXPECT_EQ(configuration->customers.front().keys,
            std::vector<std::string>({"k"}));
}

// Guards against a configuration, an answer or an endpoint that is refused for
// the way in which a whole number is written.
TEST(StoreTest, WholeNumbersMayHaveAFraction) {
  const auto configuration = DecodeConfiguration(
      R"({"version":3.0,"routes":[{"host":"h","prefix":"/","service":"s",)"
      R"("route_kind":"safe","max_attempts":2.0,"priority":1e0}]})");
  ASSERT_TRUE(configuration.ok()) << configuration.status().message();
  EXPECT_TRUE(configuration->findings.empty())
      << common::FormatFindings(configuration->findings);
  EXPECT_EQ(configuration->version, 3U);
  EXPECT_EQ(configuration->routes.front().max_attempts, 2);
  EXPECT_EQ(configuration->routes.front().priority, 1);
  json row = RowOf("config", "x", 1);
  row["row_version"] = 24.0;
  const auto rows = DecodeRows(AnswerOf(json::array({row})));
  ASSERT_TRUE(rows.ok());
  EXPECT_FALSE(HasUnreadableConfiguration(*rows));
  const auto record = DecodeEndpoint(
      {.key = "i",
       .value = R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                R"("slots":12.0,"state":"ready","born":1.787e12})"});
  ASSERT_TRUE(record.ok());
  EXPECT_EQ(record->slots, 12);
  EXPECT_EQ(record->started_at_ms, 1787000000000);
}

TEST(StoreTest, OneRowStandsForItsList) {
  const auto rows = DecodeRows(AnswerOf(RowOf("config", "x", 1)));
  ASSERT_TRUE(rows.ok()) << rows.status().message();
  ASSERT_NE(FindConfiguration(*rows), nullptr);
  EXPECT_EQ(FindConfiguration(*rows)->value, "x");
}

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
        BadTextCase{"SlotsText",
                    R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":"1","state":"ready"})"},
        BadTextCase{"SlotsFraction",
                    R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("slots":1.5,"state":"ready"})"},
        BadTextCase{"AddressInAList",
                    R"({"service":"s","address":["1.2.3.4:5"],"zone":"z",)"
                    R"("slots":1,"state":"ready"})"},
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
