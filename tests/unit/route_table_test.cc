#include "coordination/route_table.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

route RouteTo(const std::string& host, const std::string& prefix) {
  route result;
  result.name = host + prefix;
  result.host = host;
  result.path_prefix = prefix;
  result.target = single_target{"archive"};
  return result;
}

route_table TableOf(std::vector<route> routes) {
  tier_configuration configuration;
  configuration.routes = std::move(routes);
  return route_table(
      std::make_shared<const tier_configuration>(std::move(configuration)));
}

}  // namespace

TEST_CASE("the route with the longest matching path prefix is selected",
          "[route]") {
  const route_table table = TableOf(
      {RouteTo("shop", "/a/"), RouteTo("shop", "/a/b/"), RouteTo("desk", "/")});
  CHECK(table.Find("shop", "/a/b/c")->path_prefix == "/a/b/");
  CHECK(table.Find("shop", "/a/b/")->path_prefix == "/a/b/");
  CHECK(table.Find("shop", "/a/bc")->path_prefix == "/a/");
  CHECK(table.Find("shop", "/a/b")->path_prefix == "/a/");
  CHECK(table.Find("desk", "/")->path_prefix == "/");
  CHECK(table.Find("desk", "/any//thing")->path_prefix == "/");
}

TEST_CASE("no route matches outside its host and prefix", "[route]") {
  const route_table table = TableOf({RouteTo("shop", "/a/")});
  CHECK(table.Find("shop", "/") == nullptr);
  CHECK(table.Find("shop", "/a") == nullptr);
  CHECK(table.Find("shop", "/ab/") == nullptr);
  CHECK(table.Find("desk", "/a/") == nullptr);
  CHECK(table.Find("", "/a/") == nullptr);
  CHECK(table.Find("shop", "") == nullptr);
  CHECK(table.Find("shop", "*") == nullptr);
}

TEST_CASE("host names are compared without case and port", "[route]") {
  const route_table table = TableOf({RouteTo("Shop.Example", "/a/")});
  CHECK(table.Find("shop.example", "/a/x") != nullptr);
  CHECK(table.Find("SHOP.example:8080", "/a/x") != nullptr);
}

TEST_CASE("a slash in the query is not part of the path", "[route]") {
  const route_table table =
      TableOf({RouteTo("shop", "/a/"), RouteTo("shop", "/a/b?c/")});
  CHECK(table.Find("shop", "/a/b?c/d")->path_prefix == "/a/");
}

}  // namespace papayaglade
