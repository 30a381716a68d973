#ifndef LOAD_STANDIN_STATS_H_
#define LOAD_STANDIN_STATS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What the stand-ins of one process counted (GET /admin/stats).
namespace geraniumspread::load {

struct EngineCounts {
  std::string id;
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t cold_crashes = 0;
  std::uint64_t crashes = 0;
  int peak_running = 0;
  int peak_running_cold = 0;
  int peak_cold_overshoot = 0;
};

struct StandinCounts {
  std::vector<EngineCounts> engines;
  std::map<std::string, int> runs_by_key;         // summed over all services
  std::map<std::string, int> runs_by_request_id;  // summed over all upstreams
};

// Empty when the text is not a statistics answer.
std::optional<StandinCounts> ParseStandinCounts(std::string_view json_text);

// Largest over mean number of requests per engine between two readings; 0
// without requests.
double RequestSkew(const StandinCounts& before, const StandinCounts& after);

// The sum of all samples of the metric `name` in the Prometheus text format;
// empty when there is none.
std::optional<double> SumOfMetric(std::string_view metrics_text, std::string_view name);

}  // namespace geraniumspread::load

#endif  // LOAD_STANDIN_STATS_H_
