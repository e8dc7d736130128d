#include "common/object_reader.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace wagtailshore::common {
namespace {

using nlohmann::json;

struct ListCase {
  const char* name;
  json value;
  std::vector<std::string> items;
  size_t findings = 0;
};

std::ostream& operator<<(std::ostream& out, const ListCase& param) {
  return out << param.name;
}

class ListTest : public testing::TestWithParam<ListCase> {};

// Guards against a single item that is refused, or read as something else,
// because it is not in a list.
TEST_P(ListTest, OneItemStandsForItsList) {
  const json object = {{"list", GetParam().value}};
  Findings findings;
  ObjectReader reader(object, "/at", findings);
  std::vector<std::string> items;
  reader.OptionalStrings("list", items);
  EXPECT_EQ(items, GetParam().items);
  ASSERT_EQ(findings.size(), GetParam().findings) << FormatFindings(findings);
  if (!findings.empty()) {
    EXPECT_EQ(findings.front().place,
              GetParam().value.is_array() ? "/at/list/1" : "/at/list");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Values,
    ListTest,
    testing::Values(
        ListCase{"Empty", json::array(), {}},
        ListCase{"One", json::array({"a"}), {"a"}},
        ListCase{"Two", json::array({"a", "b"}), {"a", "b"}},
        ListCase{"ItemOfAnotherType", json::array({"a", 1}), {"a"}, 1},
        ListCase{"ItemAlone", "a", {"a"}},
        ListCase{"Null", nullptr, {}, 1},
        ListCase{"Number", 1, {}, 1},
        ListCase{"Object", {{"a", "b"}}, {}, 1}),
    [](const auto& info) { return std::string(info.param.name); });

struct NumberCase {
  const char* text;
  std::optional<int64_t> number;
  std::optional<uint16_t> port = std::nullopt;
};

std::ostream& operator<<(std::ostream& out, const NumberCase& param) {
  return out << param.text;
}

class WholeNumberTest : public testing::TestWithParam<NumberCase> {};

// Guards against a whole number that is refused for the way it is written, and
// against one that is guessed from a value that may be another.
TEST_P(WholeNumberTest, IsReadHoweverItIsWritten) {
  const json object = {{"field", json::parse(GetParam().text)}};
  Findings findings;
  ObjectReader reader(object, "", findings);
  std::optional<int64_t> number;
  EXPECT_EQ(reader.Optional("field", number), GetParam().number.has_value());
  EXPECT_EQ(number, GetParam().number);
  EXPECT_EQ(findings.empty(), GetParam().number.has_value());
  std::optional<uint16_t> port;
  reader.Optional("field", port);
  EXPECT_EQ(port, GetParam().port);
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    WholeNumberTest,
    testing::Values(NumberCase{"0", 0, 0},
                    NumberCase{"4", 4, 4},
                    NumberCase{"4.0", 4, 4},
                    NumberCase{"4e0", 4, 4},
                    NumberCase{"0.4E+1", 4, 4},
                    NumberCase{"65535.0", 65535, 65535},
                    NumberCase{"65536.0", 65536},
                    NumberCase{"-0.0", 0, 0},
                    NumberCase{"-4.0", -4},
                    NumberCase{"9007199254740991.0", 9007199254740991},
                    // The double next to it, which 2^53 + 1 has too.
                    NumberCase{"9007199254740992.0", std::nullopt},
                    NumberCase{"9007199254740992", 9007199254740992},
                    NumberCase{"-9007199254740992.0", std::nullopt},
                    NumberCase{"1e300", std::nullopt},
                    NumberCase{"18446744073709551615", std::nullopt},
                    NumberCase{"4.5", std::nullopt},
                    NumberCase{R"("4")", std::nullopt},
                    NumberCase{"true", std::nullopt},
                    NumberCase{"null", std::nullopt},
                    NumberCase{"[4]", std::nullopt}));

}  // namespace
}  // namespace wagtailshore::common
