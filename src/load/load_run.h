#ifndef LOAD_LOAD_RUN_H_
#define LOAD_LOAD_RUN_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "load/load_report.h"
#include "load/workload.h"
#include "transport/transport_types.h"

namespace geraniumspread::load {

// One line of an events file: a POST to the stand-ins' admin endpoint.
struct TimedEvent {
  Duration at{0};  // from the start of the run
  std::string path;
};

// Lines "<seconds> <path>"; empty lines and lines that begin with '#' are
// skipped. Empty when a line has another form; `reason` then names the line.
std::optional<std::vector<TimedEvent>> ParseEvents(std::string_view text, std::string& reason);

struct LoadSettings {
  WorkloadSettings workload;
  std::vector<transport::Endpoint> routers;
  std::optional<transport::Endpoint> admin;
  std::string model;
  std::string service;
  std::vector<TimedEvent> events;
  std::size_t max_open_requests = 2000;
  Duration timeout = std::chrono::seconds(30);  // of one answer's progress
  int max_resumes = 3;                          // of one stream
};

namespace detail {
class LoadDriver;
}  // namespace detail

// Drives the routers and checks every answer.
class LoadRun {
 public:
  LoadRun(const boost::asio::any_io_executor& executor, LoadSettings settings);
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;
  ~LoadRun();

  // Returns after the last answer.
  boost::asio::awaitable<void> Run();
  // What the run has counted; valid as long as this object.
  const LoadReport& Report() const;

 private:
  std::unique_ptr<detail::LoadDriver> driver;
};

}  // namespace geraniumspread::load

#endif  // LOAD_LOAD_RUN_H_
