#include "load/measured_times.h"

#include <cmath>

namespace geraniumspread::load {
namespace {

constexpr double kFirstBoundMs = 0.1;
constexpr double kBoundFactor = 1.1;
constexpr int kBoundCount = 148;

prometheus::Histogram::BucketBoundaries MakeBounds() {
  prometheus::Histogram::BucketBoundaries bounds;
  double bound = kFirstBoundMs;
  for (int index = 0; index < kBoundCount; ++index) {
    bounds.push_back(bound);
    bound *= kBoundFactor;
  }
  return bounds;
}

}  // namespace

MeasuredTimes::MeasuredTimes() : histogram(MakeBounds()) {}

void MeasuredTimes::Add(Duration time) {
  this->histogram.Observe(std::chrono::duration<double, std::milli>(time).count());
}

std::uint64_t MeasuredTimes::Count() const {
  return this->histogram.Collect().histogram.sample_count;
}

double MeasuredTimes::QuantileMs(double share) const {
  const prometheus::ClientMetric::Histogram collected = this->histogram.Collect().histogram;
  if (collected.sample_count == 0) {
    return 0;
  }
  const double rank = share * static_cast<double>(collected.sample_count);
  double lower_bound = 0;
  double lower_count = 0;
  for (const auto& bucket : collected.bucket) {
    const auto count = static_cast<double>(bucket.cumulative_count);
    if (count >= rank && count > lower_count) {
      if (std::isinf(bucket.upper_bound)) {
        return lower_bound;
      }
      const double part = (rank - lower_count) / (count - lower_count);
      return lower_bound + part * (bucket.upper_bound - lower_bound);
    }
    lower_bound = bucket.upper_bound;
    lower_count = count;
  }
  return lower_bound;
}

}  // namespace geraniumspread::load
