#include "common/object_reader.h"

#include <gtest/gtest.h>

#include <ostream>

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

}  // namespace
}  // namespace wagtailshore::common
