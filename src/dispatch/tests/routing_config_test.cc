#include "dispatch/routing_config.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::dispatch {
namespace {

RoutingConfig MakeConfig() {
  RoutingConfig config;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    Route route;
    route.name = prefix;
    config.routes["host.example"][prefix] = route;
  }
  return config;
}

BOOST_AUTO_TEST_CASE(TheLongestPrefixWins) {
  const RoutingConfig config = MakeConfig();
  BOOST_TEST(FindRoute(config, "host.example", "/a/b/c")->name == "/a/b/");
  BOOST_TEST(FindRoute(config, "host.example", "/a/bc")->name == "/a/");
  BOOST_TEST(FindRoute(config, "host.example:8080", "/a/b/?x=/a/")->name == "/a/b/");
  BOOST_TEST(FindRoute(config, "host.example", "/ab")->name == "/");
}

BOOST_AUTO_TEST_CASE(UnknownHostsAndPathsHaveNoRoute) {
  RoutingConfig config = MakeConfig();
  BOOST_TEST(FindRoute(config, "other.example", "/a/") == nullptr);
  config.routes["host.example"].erase("/");
  BOOST_TEST(FindRoute(config, "host.example", "/c/d") == nullptr);
  BOOST_TEST(FindRoute(config, "host.example", "") == nullptr);
}

// Guards against a caller's retry that is routed to another service, and against
// shares that don't match the weights.
BOOST_AUTO_TEST_CASE(ServicesAreDrawnByWeightAndRequestId) {
  Route route;
  route.services = {{"large", 90}, {"small", 10}, {"none", 0}};
  int large = 0;
  for (int request = 0; request < 1000; ++request) {
    const std::string id = std::to_string(request);
    const std::string_view service = ChooseService(route, id);
    BOOST_TEST(ChooseService(route, id) == service);
    BOOST_TEST(service != "none");
    large += service == "large" ? 1 : 0;
  }
  BOOST_TEST(large > 850);
  BOOST_TEST(large < 950);
}

}  // namespace
}  // namespace geraniumspread::dispatch
