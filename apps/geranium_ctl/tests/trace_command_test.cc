#include "geranium_ctl/trace_command.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "geranium_ctl/run.h"

namespace geraniumspread::ctl {
namespace {

constexpr const char* kLog =
    R"({"time":"T1","instance":"e1","event":"config_in_force","version":3}
{"time":"T2","instance":"e1","event":"upstream_listed","upstream":"u1","draining":false}
{"time":"T2","instance":"e1","event":"upstream_listed","upstream":"u9","draining":false}
{"time":"T2","instance":"e2","event":"failure_domain_silent","failure_domain":"b"}
{"time":"T4","instance":"e1","event":"request_refused","request_id":"r1","status":502}
  12.5 e1 {"time":"T3","instance":"e1","event":"attempt","request_id":"r1","upstream":"u1"}
{"time":"T5","instance":"e1","event":"store_lost"}
{"time":"T3","instance":"e1","event":"attempt","request_id":"r2","upstream":"u9"}
{"time":"T6","instance":"e1","event":"att)";

RequestTrace Trace(std::string_view request_id) {
  std::istringstream log(kLog);
  std::size_t unreadable = 0;
  RequestTrace trace = TraceRequest(ReadLog(log, unreadable), request_id);
  trace.unreadable = unreadable;
  return trace;
}

// The story holds what the instance believed before, of the upstreams that were
// used, and nothing of other requests, instances or later times.
BOOST_AUTO_TEST_CASE(TheStoryOfARequestIsInOrderAndComplete) {
  const RequestTrace trace = Trace("r1");
  std::string events;
  for (const LogLine& line : trace.lines) {
    events += line.time + ":" + line.event + " ";
  }
  BOOST_TEST(events == "T1:config_in_force T2:upstream_listed T3:attempt T4:request_refused ");
  BOOST_TEST(trace.own_lines == 2U);
  BOOST_TEST(trace.unreadable == 1U);
}

BOOST_AUTO_TEST_CASE(UnknownRequestsAndFilesHaveTheirExitCodes) {
  const std::string path =
      (std::filesystem::temp_directory_path() / "trace_command_test.log").string();
  std::ofstream(path) << kLog;
  std::ostringstream out;
  std::ostringstream errors;
  const auto run = [&](std::vector<const char*> arguments) { return Run(arguments, out, errors); };
  BOOST_CHECK(run({"trace", "r1", path.c_str()}) == ExitCode::kSuccess);
  BOOST_TEST(out.str().find("upstream=\"u1\"") != std::string::npos);
  BOOST_CHECK(run({"trace", "r7", path.c_str()}) == ExitCode::kInvalid);
  BOOST_CHECK(run({"trace", "r1", "/nowhere/a.log"}) == ExitCode::kUnavailable);
  BOOST_CHECK(run({"trace", "r1"}) == ExitCode::kUsage);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace geraniumspread::ctl
