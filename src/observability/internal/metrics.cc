#include "observability/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace geraniumspread::observability {
namespace detail {

struct MetricsState {
  prometheus::Registry registry;
  std::map<std::string, prometheus::Family<prometheus::Counter>*, std::less<>> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*, std::less<>> gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*, std::less<>> histograms;
};

namespace {

const prometheus::Histogram::BucketBoundaries& SecondsBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120};
  return kBuckets;
}

std::map<std::string, std::string> CopyLabels(MetricLabels labels) {
  std::map<std::string, std::string> copy;
  for (const auto& [name, value] : labels) {
    copy.emplace(name, value);
  }
  return copy;
}

// Finds the family `name` or registers it with `build`.
template <typename Families, typename Build>
auto& FindFamily(Families& families, std::string_view name, Build build) {
  auto found = families.find(name);
  if (found == families.end()) {
    found = families.emplace(std::string(name), &build(std::string(name))).first;
  }
  return *found->second;
}

}  // namespace
}  // namespace detail

Metrics::Metrics() : state(std::make_unique<detail::MetricsState>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, MetricLabels labels, double amount) {
  auto& family =
      detail::FindFamily(this->state->counters, name, [this](const std::string& full) -> auto& {
        return prometheus::BuildCounter().Name(full).Register(this->state->registry);
      });
  family.Add(detail::CopyLabels(labels)).Increment(amount);
}

void Metrics::SetGauge(std::string_view name, double value, MetricLabels labels) {
  auto& family =
      detail::FindFamily(this->state->gauges, name, [this](const std::string& full) -> auto& {
        return prometheus::BuildGauge().Name(full).Register(this->state->registry);
      });
  family.Add(detail::CopyLabels(labels)).Set(value);
}

void Metrics::ObserveTime(std::string_view name, Duration time, MetricLabels labels) {
  auto& family =
      detail::FindFamily(this->state->histograms, name, [this](const std::string& full) -> auto& {
        return prometheus::BuildHistogram().Name(full).Register(this->state->registry);
      });
  family.Add(detail::CopyLabels(labels), detail::SecondsBuckets())
      .Observe(std::chrono::duration<double>(time).count());
}

std::string Metrics::Render() const {
  return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

}  // namespace geraniumspread::observability
