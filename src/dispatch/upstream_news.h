#ifndef DISPATCH_UPSTREAM_NEWS_H_
#define DISPATCH_UPSTREAM_NEWS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "dispatch/upstream_path.h"
#include "dispatch/upstream_table.h"

// What instances tell each other about upstreams: which processes have ended, and how long work
// takes. Each instance tells only its own observations.
namespace geraniumspread::dispatch {

// Sign by which an instance notices that the process of an upstream has ended. A connect that timed
// out is none, since the instance's own path may be the cause.
enum class EndedProcess : std::uint8_t { kRefusesConnects, kReplaced };

// Observations of one instance about an upstream, as sent to its peers.
struct UpstreamNews {
  std::uint32_t upstream_key = 0;
  // ProcessKey of the upstream.
  std::uint32_t process = 0;
  std::optional<double> pace;
  Duration pace_age{0};
  // Time since a connect was refused or another process answered.
  std::optional<Duration> ended_age;
  bool is_replaced = false;
  // The pace is a ratio of measured to expected time. Otherwise the upstream stated it.
  bool is_measured = false;
};

// Start of the process in milliseconds modulo 2^32; distinguishes processes of one upstream.
std::uint32_t ProcessKey(const Upstream& upstream);

// Records a sign that this instance observed itself, to be told to the peers. A process that
// refuses connects is avoided for two seconds at least.
void RecordEndedProcess(Upstream& upstream, EndedProcess sign, TimePoint now);

// Returns observations that peers may not have yet, newest first. Empty unless `path` is reached:
// otherwise the instance's own path may be the cause of what it observed.
std::vector<UpstreamNews> TakeUpstreamNews(UpstreamTable& table, PathState path, TimePoint now);

// Applies observations of a peer. Observations that are not newer than the known one, older than a
// success of this instance, or about another process are ignored. Returns the upstreams that are
// avoided from now on and were not before.
std::vector<UpstreamRow> MergeUpstreamNews(UpstreamTable& table,
                                           std::span<const UpstreamNews> news,
                                           TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_UPSTREAM_NEWS_H_
