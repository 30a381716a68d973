#ifndef GERANIUM_CTL_TRACE_COMMAND_H_
#define GERANIUM_CTL_TRACE_COMMAND_H_

#include <boost/json/object.hpp>
#include <istream>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "geranium_ctl/command_line.h"

namespace geraniumspread::ctl {

// One line of a log of geranium_edge.
struct LogLine {
  std::string time;
  std::string instance;
  std::string event;
  boost::json::object fields;
};

// The story of one request: its own lines, and what the instances that handled
// it came to believe shortly before.
struct RequestTrace {
  // Ordered by time.
  std::vector<LogLine> lines;
  std::size_t own_lines = 0;
  // Lines that are no JSON object, for example cut ones.
  std::size_t unreadable = 0;
};

// Reads lines of one log; text before the first brace is left out.
std::vector<LogLine> ReadLog(std::istream& log, std::size_t& unreadable);
RequestTrace TraceRequest(const std::vector<LogLine>& log, std::string_view request_id);

// trace REQUEST_ID LOG...: prints the story of a request from the logs of many instances.
ExitCode ShowTrace(const CommandLine& line, std::ostream& out);

}  // namespace geraniumspread::ctl

#endif  // GERANIUM_CTL_TRACE_COMMAND_H_
