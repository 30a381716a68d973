#ifndef OBSERVABILITY_METRICS_H_
#define OBSERVABILITY_METRICS_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "common/runtime_clock.h"

// Metrics of one process, on prometheus-cpp. Names carry their unit
// (_total, _seconds, _bytes) and the prefix geranium_.
namespace geraniumspread::observability {

namespace detail {
struct MetricsState;
}  // namespace detail

using MetricLabels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  // Adds to a counter, which is created at first use.
  void Count(std::string_view name, MetricLabels labels = {}, double amount = 1);
  void SetGauge(std::string_view name, double value, MetricLabels labels = {});
  // Adds one time to a histogram of seconds with buckets from 1 ms to 120 s.
  void ObserveTime(std::string_view name, Duration time, MetricLabels labels = {});
  // Text exposition format, as /metrics serves it.
  std::string Render() const;

 private:
  std::unique_ptr<detail::MetricsState> state;
};

}  // namespace geraniumspread::observability

#endif  // OBSERVABILITY_METRICS_H_
