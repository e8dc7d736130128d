#include "state/serving/route_table.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>

namespace wagtailshore::serving {
namespace {

RouteTable* MakeTable() {
  Configuration configuration{.version = 3};
  for (const auto& [name, prefix] :
       {std::pair("root", "/"), std::pair("a", "/a/"),
        std::pair("ab", "/a/b/")}) {
    configuration.routes.push_back({.name = name,
                                    .host = "one.example",
                                    .prefix = prefix,
                                    .services = {{.service = "s"}}});
  }
  configuration.routes.push_back({.name = "two",
                                  .host = "two.example",
                                  .prefix = "/only/",
                                  .services = {{.service = "s"}},
                                  .open_to_all = true});
  configuration.customers.push_back({.name = "c", .keys = {"k1", "k2"}});
  return new RouteTable(std::move(configuration));
}

struct RouteCase {
  const char* host;
  const char* path;
  // Name of the expected route; empty for none.
  const char* route;
};

class FindRouteTest : public testing::TestWithParam<RouteCase> {};

TEST_P(FindRouteTest, LongestPrefixOfTheHostWins) {
  const std::unique_ptr<RouteTable> table(MakeTable());
  const Route* route = table->FindRoute(GetParam().host, GetParam().path);
  EXPECT_EQ(route == nullptr ? "" : route->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(
    Paths,
    FindRouteTest,
    testing::Values(RouteCase{"one.example", "/", "root"},
                    RouteCase{"one.example", "/x/y", "root"},
                    RouteCase{"one.example", "/a", "root"},
                    RouteCase{"one.example", "/a/", "a"},
                    RouteCase{"one.example", "/a/bc", "a"},
                    RouteCase{"one.example", "/a/b/c/d", "ab"},
                    RouteCase{"one.example", "/a/?q=/a/b/", "a"},
                    RouteCase{"ONE.example:80", "/a/b/", "ab"},
                    RouteCase{"two.example", "/other/", ""},
                    RouteCase{"two.example", "/only/x", "two"},
                    RouteCase{"three.example", "/a/", ""},
                    RouteCase{"one.example", "", ""},
                    RouteCase{"one.example", "*", ""}));

TEST(RouteTableTest, KeysNameCustomers) {
  const std::unique_ptr<RouteTable> table(MakeTable());
  EXPECT_EQ(table->FindCustomer("k2")->name, "c");
  EXPECT_EQ(table->FindCustomer("k3"), nullptr);
  EXPECT_TRUE(table->NeedsKey(*table->FindRoute("one.example", "/")));
  EXPECT_FALSE(table->NeedsKey(*table->FindRoute("two.example", "/only/")));
}

// Guards against routes that open when the last customer is taken away.
TEST(RouteTableTest, NobodyHasAKeyWithoutCustomers) {
  Configuration configuration;
  configuration.routes.push_back({.host = "h", .prefix = "/"});
  const RouteTable table(std::move(configuration));
  EXPECT_TRUE(table.NeedsKey(*table.FindRoute("h", "/")));
  EXPECT_EQ(table.FindCustomer(""), nullptr);
}

}  // namespace
}  // namespace wagtailshore::serving
