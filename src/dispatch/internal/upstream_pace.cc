#include "dispatch/upstream_pace.h"

#include <algorithm>
#include <cmath>

namespace geraniumspread::dispatch {
namespace {

constexpr double kMaxStated = 100;
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 16;
// On one deployment the stated pace changes about every 600 ms, so one of this age says nothing.
constexpr Duration kStatedLifetime = std::chrono::milliseconds(500);
// Values that are heard often move the average with this time constant, rare ones by
// `kMaxAverageWeight` each. The first ones so leave the estimate near 1.
constexpr double kAverageSeconds = 5;
constexpr double kMaxAverageWeight = 0.2;
// Without values for this long the average returns to 1.
constexpr double kAverageKeptSeconds = 5;
constexpr double kAverageHalfLifeSeconds = 10;
// Added to both times, so that the jitter of short requests says nothing.
constexpr Duration kMeasuredSlack = std::chrono::milliseconds(40);
constexpr Duration kMeasuredLifetime = std::chrono::seconds(4);
// Requests of several instances that wait behind one long prompt are answered within this time.
constexpr Duration kPeerGroupSpan = std::chrono::milliseconds(500);
// Lower ratios may come from an inexact expected time.
constexpr double kMinMeasuredRatio = 1.5;
// Paces this near to 1 are usual.
constexpr double kUsualDeviation = 0.1;
// Peers drop older observations.
constexpr Duration kMaxToldAge = std::chrono::seconds(1);
constexpr double kSlowThreshold = 2;
constexpr double kSlowEndThreshold = 1.5;
// A mean of fewer requests is unknown.
constexpr std::uint32_t kMinMeanCount = 20;
constexpr std::uint32_t kMaxMeanCount = 50;
constexpr double kMinSeconds = 1e-4;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double AverageAt(const UpstreamPace& pace, TimePoint now) {
  const double age = std::max(0.0, Seconds(now - pace.stated.at) - kAverageKeptSeconds);
  return 1 + (pace.average - 1) * std::exp2(-age / kAverageHalfLifeSeconds);
}

double StatedAt(const UpstreamPace& pace, TimePoint now) {
  const double age = Seconds(now - pace.stated.at) / Seconds(kStatedLifetime);
  const double weight = std::clamp(1 - age, 0.0, 1.0);
  return weight * pace.stated.factor + (1 - weight) * AverageAt(pace, now);
}

// Returns the lower one of the last two groups: a single long prompt delays only one. Returns 1 if
// they show no slow upstream.
double MeasuredRatio(const UpstreamPace& pace, TimePoint now) {
  const bool is_known = now - pace.current.last_at <= kMeasuredLifetime &&
                        pace.current.first_at - pace.previous.last_at <= kMeasuredLifetime;
  const double ratio = std::min(pace.current.ratio, pace.previous.ratio);
  return is_known && ratio > kMinMeasuredRatio ? ratio : 1;
}

double MeasuredAt(const UpstreamPace& pace, TimePoint now) {
  const double age = Seconds(now - pace.current.last_at) / Seconds(kMeasuredLifetime);
  return 1 + (MeasuredRatio(pace, now) - 1) * std::clamp(1 - age, 0.0, 1.0);
}

// The pace that the upstream states, or else the measured one.
PaceObservation NewestOwn(const UpstreamPace& pace, TimePoint now) {
  if (pace.own.at + kMaxToldAge >= now) {
    return pace.own;
  }
  const double ratio = pace.own_measured.factor;
  return {ratio > kMinMeasuredRatio ? ratio : 1, pace.own_measured.at, true};
}

bool IsUsual(double factor) {
  return std::abs(factor - 1) <= kUsualDeviation;
}

}  // namespace

void RecordStatedPace(UpstreamPace& pace, double factor, TimePoint at) {
  if (!std::isfinite(factor) || factor <= 0 || factor > kMaxStated || at <= pace.stated.at) {
    return;
  }
  const double interval = Seconds(at - pace.stated.at);
  const double weight = std::min(kMaxAverageWeight, 1 - std::exp(-interval / kAverageSeconds));
  const double average = AverageAt(pace, at);
  pace.average = average + weight * (factor - average);
  pace.stated = {factor, at};
}

void RecordOwnStatedPace(UpstreamPace& pace, double factor, TimePoint at) {
  RecordStatedPace(pace, factor, at);
  if (pace.stated.at == at) {
    pace.own = pace.stated;
  }
}

void RecordMeasuredTime(UpstreamPace& pace, Duration expected, Duration measured, TimePoint now) {
  const double ratio = std::clamp(Seconds(measured + kMeasuredSlack) /
                                      Seconds(std::max(expected, Duration{0}) + kMeasuredSlack),
                                  0.0, kMaxFactor);
  const bool is_same_own = now - measured < pace.own_measured.at;
  pace.own_measured = {is_same_own ? std::min(pace.own_measured.factor, ratio) : ratio, now, true};
  if (now - measured < pace.current.first_at) {
    pace.current.ratio = std::min(pace.current.ratio, ratio);
    pace.current.last_at = std::max(pace.current.last_at, now);
    return;
  }
  pace.previous = pace.current;
  pace.current = {ratio, now, now};
}

void RecordPeerRatio(UpstreamPace& pace, double ratio, TimePoint at) {
  if (!std::isfinite(ratio) || ratio <= 0 || ratio > kMaxStated ||
      at < pace.current.first_at - kPeerGroupSpan) {
    return;
  }
  if (ratio > kMinMeasuredRatio) {
    // The next usual time that this instance measures is told as evidence to the contrary.
    pace.told.factor = ratio;
  }
  if (at < pace.current.first_at + kPeerGroupSpan) {
    pace.current.ratio = std::min(pace.current.ratio, ratio);
    return;
  }
  pace.previous = pace.current;
  pace.current = {std::min(ratio, kMaxFactor), at, at};
}

double ExpectedPace(const UpstreamPace& pace, TimePoint now) {
  const double measured = MeasuredAt(pace, now);
  const double stated = StatedAt(pace, now);
  return std::clamp(measured > 1 ? std::max(measured, stated) : stated, kMinFactor, kMaxFactor);
}

bool HasPaceToTell(const UpstreamPace& pace, TimePoint now) {
  const PaceObservation own = NewestOwn(pace, now);
  return own.at > pace.told.at && own.at + kMaxToldAge >= now &&
         (!IsUsual(own.factor) || !IsUsual(pace.told.factor));
}

std::optional<PaceObservation> TakePaceToTell(UpstreamPace& pace, TimePoint now) {
  if (!HasPaceToTell(pace, now)) {
    return std::nullopt;
  }
  pace.told = NewestOwn(pace, now);
  return pace.told;
}

std::optional<bool> UpdateSlowness(UpstreamPace& pace, TimePoint now) {
  const double estimate = std::max(AverageAt(pace, now), MeasuredAt(pace, now));
  const bool is_slow = estimate >= (pace.is_slow ? kSlowEndThreshold : kSlowThreshold);
  if (is_slow == pace.is_slow) {
    return std::nullopt;
  }
  pace.is_slow = is_slow;
  return is_slow;
}

void RecordServiceTime(MeanTime& mean, Duration measured) {
  const double weight = 1.0 / (mean.count + 1);
  const double sample = std::log(std::max(Seconds(measured), kMinSeconds));
  mean.log_seconds += weight * (sample - mean.log_seconds);
  mean.count = std::min(mean.count + 1, kMaxMeanCount);
}

std::optional<Duration> MeanServiceTime(const MeanTime& mean) {
  if (mean.count < kMinMeanCount) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::exp(mean.log_seconds)));
}

}  // namespace geraniumspread::dispatch
