#ifndef DISPATCH_UPSTREAM_PACE_H_
#define DISPATCH_UPSTREAM_PACE_H_

#include <cstdint>
#include <optional>

#include "common/runtime_clock.h"

// Estimate of how long work takes at an upstream now, as a factor of its usual time. Unknown means
// 1.
namespace geraniumspread::dispatch {

// Requests that wait at the same time wait behind the same work, so they count as one measurement.
struct MeasuredGroup {
  // Lowest ratio of measured to expected time.
  double ratio = 1;
  // When the first and the last request of the group were answered.
  TimePoint first_at;
  TimePoint last_at;
};

struct PaceObservation {
  double factor = 1;
  TimePoint at;
  // A ratio of measured to expected time. Otherwise the upstream stated it.
  bool is_measured = false;
};

struct UpstreamPace {
  // Newest pace that the upstream stated to this instance or a peer.
  PaceObservation stated;
  // Slow-moving average of the stated paces when the last one was recorded.
  double average = 1;
  MeasuredGroup current;
  MeasuredGroup previous;
  // Newest pace that the upstream stated to this instance, the newest one that it measured, and
  // what peers were last told.
  PaceObservation own;
  PaceObservation own_measured;
  PaceObservation told;
  // The slow-moving estimate is above the threshold for logs.
  bool is_slow = false;
};

// Geometric mean of the times of a plain service's requests, which a slow upstream moves little.
struct MeanTime {
  double log_seconds = 0;
  std::uint32_t count = 0;
};

// Records a pace that the upstream stated at `at`. One that is not newer than the known one, not a
// positive number or above 100 is ignored.
void RecordStatedPace(UpstreamPace& pace, double factor, TimePoint at);
// The same for a pace that this instance heard itself and may tell.
void RecordOwnStatedPace(UpstreamPace& pace, double factor, TimePoint at);
// Records how long the upstream took for a request of this instance that was answered now.
void RecordMeasuredTime(UpstreamPace& pace, Duration expected, Duration measured, TimePoint now);
// Records a ratio of measured to expected time that a peer observed at `at`.
void RecordPeerRatio(UpstreamPace& pace, double ratio, TimePoint at);

// Returns the factor that applies to work that starts now: 1 as usual, 2 for twice as long.
double ExpectedPace(const UpstreamPace& pace, TimePoint now);

// Returns an observation that peers may not have yet and marks it as told. Usual paces are told
// only after an unusual one.
std::optional<PaceObservation> TakePaceToTell(UpstreamPace& pace, TimePoint now);
bool HasPaceToTell(const UpstreamPace& pace, TimePoint now);

// Returns whether the upstream is slow if that changed since the last call. Short peaks of the
// stated pace don't count.
std::optional<bool> UpdateSlowness(UpstreamPace& pace, TimePoint now);

void RecordServiceTime(MeanTime& mean, Duration measured);
// Returns nullopt until enough requests were measured.
std::optional<Duration> MeanServiceTime(const MeanTime& mean);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_UPSTREAM_PACE_H_
