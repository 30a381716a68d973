#ifndef STANDIN_PLAIN_SERVICE_H_
#define STANDIN_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/runtime_clock.h"

// A simulated plain service. It never removes duplicates itself: each call that
// reaches it runs and is counted.
namespace geraniumspread::standin {

struct PlainServiceSettings {
  std::string id;
  std::string service;
  Duration service_time = std::chrono::milliseconds(10);
  int capacity = 32;  // calls at a time; further ones wait
  Duration restart_time = std::chrono::seconds(2);
};

struct ServiceCall {
  std::string method;
  std::string target;
  std::string request_id;
  std::string idempotency_key;
  std::string body;
};

struct ServiceStats {
  std::map<std::string, int> runs_by_key;
  std::map<std::string, int> runs_by_request_id;
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t crashes = 0;
  int peak_running = 0;
};

struct ActiveCall {
  std::uint64_t number = 0;
  ServiceCall call;
  std::optional<TimePoint> done_at;  // set once the call runs
};

struct PlainService {
  PlainServiceSettings settings;
  ServiceStats stats;
  std::uint64_t incarnation = 0;
  bool up = true;
  std::optional<TimePoint> restart_at;
  Duration delay{0};  // added to the service time of later calls
  std::uint64_t last_number = 0;
  std::vector<ActiveCall> calls;
};

struct FinishedCall {
  std::uint64_t number = 0;
  std::string body;  // JSON
};

struct ServiceTick {
  std::vector<FinishedCall> finished;
  bool restarted = false;
};

PlainService MakePlainService(PlainServiceSettings settings, std::uint64_t incarnation);
std::uint64_t SubmitCall(PlainService& service, ServiceCall call, TimePoint now);
// A call that has begun is run to its end; only its answer is dropped.
void AbandonCall(PlainService& service, std::uint64_t number);
ServiceTick TickService(PlainService& service, TimePoint now);
// Drops all calls. Calls that had begun stay counted as run.
void CrashService(PlainService& service, TimePoint now, std::optional<Duration> restart_after);

}  // namespace geraniumspread::standin

#endif  // STANDIN_PLAIN_SERVICE_H_
