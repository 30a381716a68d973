#include "geranium_ctl/instances_command.h"

#include <boost/test/unit_test.hpp>

namespace geraniumspread::ctl {
namespace {

InstanceStatus Page(const std::string& name, int config, const std::string& upstreams) {
  return ReadInstanceStatus("h:1", "{\"instance\":\"" + name +
                                       "\",\"config\":" + std::to_string(config) +
                                       ",\"published_revision\":7,\"domains_out\":[],"
                                       "\"upstreams\":[" +
                                       upstreams + "]}");
}

// Guards against instances that act on different beliefs without anyone seeing it.
BOOST_AUTO_TEST_CASE(DifferentBeliefsAreNamed) {
  const std::string working = R"({"id":"u1","takes_new_work":true})";
  const std::string draining = R"({"id":"u1","takes_new_work":false})";
  BOOST_TEST(FindDifferences({Page("e1", 4, working), Page("e2", 4, working)}).empty());
  const auto by_config = FindDifferences({Page("e1", 4, working), Page("e2", 6, working)});
  BOOST_REQUIRE(by_config.size() == 2U);
  BOOST_TEST(by_config.front() == "config 4: 1 instance(s), first e1");
  const auto by_upstream = FindDifferences({Page("e1", 4, working), Page("e2", 4, draining)});
  BOOST_REQUIRE(by_upstream.size() == 2U);
  BOOST_TEST(by_upstream.front().starts_with("upstreams that take new work"));
}

// Guards against an instance that can't be read and counts as agreeing, or stops the others.
BOOST_AUTO_TEST_CASE(UnreadablePagesAreErrors) {
  for (const std::string_view body : {"", "[]", "{}", "not json"}) {
    BOOST_TEST(!ReadInstanceStatus("h:1", body).error.empty(), body);
  }
  const std::string working = R"({"id":"u1","takes_new_work":true})";
  BOOST_TEST(FindDifferences({Page("e1", 4, working), ReadInstanceStatus("h:1", "")}).empty());
}

}  // namespace
}  // namespace geraniumspread::ctl
