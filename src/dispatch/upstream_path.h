#ifndef DISPATCH_UPSTREAM_PATH_H_
#define DISPATCH_UPSTREAM_PATH_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/peer_table.h"
#include "dispatch/upstream_table.h"

// Whether this instance itself reaches the upstreams, and which peer sends requests to them while
// it doesn't. An upstream that fails alone is not taken for a lost path.
namespace geraniumspread::dispatch {

struct UpstreamPathSettings {
  // Failures at different upstreams count together within this time.
  Duration failure_window = std::chrono::seconds(2);
  // No check starts this soon after one that reached an upstream, since connects are expensive.
  Duration check_pause = std::chrono::seconds(1);
  // While requests are under way and no byte comes from any upstream for this long, one upstream
  // is probed.
  Duration max_silence = std::chrono::milliseconds(400);
  // Slow upstreams are silent too, so this probe comes less often than a check.
  Duration silence_pause = std::chrono::seconds(2);
  // Time between probes while the path is lost.
  Duration probe_interval = std::chrono::milliseconds(500);
  std::size_t checked_upstreams = 4;
};

enum class PathState : std::uint8_t {
  kReached,
  // A check of several upstreams is under way.
  kSuspected,
  kLost,
};

// What a failure shows about the path to an upstream.
enum class PathSign : std::uint8_t {
  // The connect failed, or a connection was lost that had served before.
  kConnectionFailed,
  // A new connection opened and then brought no answer.
  kUnanswered,
};

struct UnreachedUpstream {
  std::string id;
  TimePoint at;
};

struct UpstreamPath {
  UpstreamPathSettings settings;
  PathState state = PathState::kReached;
  TimePoint changed_at;
  // The upstreams at which connects failed or connections were lost since the last new connection
  // of use, each with its last failure.
  std::vector<UnreachedUpstream> failures;
  // Checks and probes need an answer from an upstream, since connections open and are of no use.
  bool needs_answer = false;
  TimePoint no_check_before;
  TimePoint no_silence_probe_before;
  TimePoint next_probe_at;
  // When the last byte came from any upstream or a connect succeeded. A standstill of the process
  // also sets it, since nothing could arrive meanwhile.
  TimePoint last_bytes_at;
};

// Records a failed connect to an upstream or the loss of a connection. Returns true if a check
// must start; the path is then suspected to be lost. `listed` is the number of upstreams of
// configured services. After an unanswered request on a new connection, checks need an answer until
// a request or a check gets one.
bool RecordPathFailure(UpstreamPath& path,
                       std::string_view upstream,
                       std::size_t listed,
                       TimePoint now,
                       PathSign sign = PathSign::kConnectionFailed);
// Call when a probe failed after a silence. Returns true if a check must start.
bool SuspectPath(UpstreamPath& path, TimePoint now);
// Records that a new connection to an upstream, opened at `connected_at` at the earliest, is of
// use: it brought an answer or stayed open. Returns true if the path was lost until now. Says
// nothing about failures after `connected_at`, since old connections may outlive the path.
bool RecordPathReached(UpstreamPath& path, TimePoint connected_at, TimePoint now);
// Records that a check reached none of several upstreams. Returns true if the path is lost from
// now on; false if a request has reached an upstream since the check began.
bool RecordPathUnreached(UpstreamPath& path, TimePoint now);
// Records that a check gave no result because the process stood still.
void RecordPathUnchecked(UpstreamPath& path, TimePoint now);
// Call when the process stood still: failures from before then may be its own fault.
void RecordPathStandstill(UpstreamPath& path, TimePoint now);
// True if one upstream must be probed because requests under way since `waiting_since`, the
// oldest of them, get no answer. The probe needs an answer. The next probe for this reason comes
// after a pause.
bool TakeSilenceProbe(UpstreamPath& path, TimePoint waiting_since, TimePoint now);
// True if the next probe of a lost path is due.
bool TakeRecoveryProbe(UpstreamPath& path, TimePoint now);

// Returns random upstreams of configured services to probe, of as many failure domains and services
// as possible. Those in silent failure domains come last.
std::vector<UpstreamRow> ChooseProbedUpstreams(const UpstreamTable& upstreams,
                                               std::size_t count,
                                               std::mt19937_64& random);

// Removes the effects that failed connects and lost connections of a lost path had on what this
// instance knows about the upstreams.
void ForgetPathFailures(const UpstreamPath& path, UpstreamTable& upstreams);

struct RelayRules {
  // Region of each failure domain. Empty if all are in one region.
  std::map<std::string, std::string> regions;
  // Peers that could not relay a request, and until when none is sent to them.
  std::map<std::string, TimePoint> avoided;
};

// Returns a random peer of the own region that reaches the upstreams, or null. Peers of the own
// failure domain are preferred unless more of its instances need a relay than offer one, which
// would overload those.
const Peer* ChooseRelayPeer(const PeerTable& peers,
                            const RelayRules& rules,
                            std::mt19937_64& random,
                            TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_UPSTREAM_PATH_H_
