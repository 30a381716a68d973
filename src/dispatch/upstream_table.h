#ifndef DISPATCH_UPSTREAM_TABLE_H_
#define DISPATCH_UPSTREAM_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/dispatch_types.h"
#include "dispatch/prompt_cache_model.h"
#include "dispatch/send_limits.h"

namespace geraniumspread::dispatch {

// An upstream as the platform publishes it.
struct UpstreamListing {
  std::string id;
  std::string service;
  std::string address;  // ip:port
  std::string failure_domain;
  std::uint32_t slots = 1;
  bool draining = false;
  // How much longer the upstream is cold, at the moment of the listing.
  Duration cold_left{0};
  // Start of the process in Unix milliseconds; tells a restart under the same id.
  std::int64_t started_at_ms = 0;
};

// Outcomes of this instance's own attempts.
struct UpstreamHealth {
  // Moving average of failed attempts, 0 to 1, as of `rated_at`.
  double failure_rate = 0;
  TimePoint rated_at;
  std::uint32_t connect_failures = 0;
  TimePoint avoid_until;
};

// Load that the upstream itself stated in an answer to this instance or to a peer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  TimePoint at;
  std::uint32_t own_running = 0;
  // A peer passed it on; it is not passed on again.
  bool from_peer = false;
};

// What a process of an upstream said of itself. It holds until that process ends,
// whatever a later listing says: the platform may apply an older write late.
struct AnnouncedState {
  // It is about to stop and takes no new requests.
  bool leaving = false;
  // Until then it wants no requests from this instance. That is no verdict on its
  // health, and other instances may be welcome.
  TimePoint pause_until;
};

struct Upstream {
  UpstreamListing listing;
  AnnouncedState announced;
  // StableHash of the id.
  std::uint64_t id_hash = 0;
  TimePoint listed_at;
  // False once removed; requests under way keep the row.
  bool listed = true;
  // A removal during an outage of the platform's store is held until then.
  std::optional<TimePoint> removal_at;
  TimePoint cold_until;
  // Requests of this instance, and prompt tokens that the upstream has not begun to answer.
  std::uint32_t running = 0;
  std::uint64_t pending_prefill_tokens = 0;
  std::optional<LoadReport> report;
  UpstreamHealth health;
  // When this instance last received bytes from it.
  TimePoint last_received_at;
  PromptCacheModel prompt_cache;
  SlidingCount cold_sends;
};

// What the other instances have at one upstream.
struct RemoteLoad {
  std::uint32_t running = 0;
  std::uint64_t pending_prefill_tokens = 0;
};

using UpstreamRow = std::shared_ptr<Upstream>;

// A process whose row was dropped and may be listed again.
struct DroppedProcess {
  AnnouncedState announced;
  TimePoint dropped_at;
};

struct UpstreamTable {
  std::unordered_map<std::string, UpstreamRow> rows;
  // By id and start of the process.
  std::map<std::pair<std::string, std::int64_t>, DroppedProcess> dropped;
  // By service, ordered by id, so that all instances walk them alike.
  std::unordered_map<std::string, std::vector<UpstreamRow>> by_service;
  std::set<std::string, std::less<>> domains_out_of_service;
  // Failure domains whose instances are silent, so that a cut is likely.
  std::set<std::string, std::less<>> domains_silent;
  // By DigestKey.
  std::unordered_map<std::uint32_t, UpstreamRow> by_key;
  // By DigestKey; kept up to date by the peer table.
  std::unordered_map<std::uint32_t, RemoteLoad> remote;
};

// Reports and most requests that they count are about as old; an older report says
// less than the counts of the instances.
inline constexpr Duration kReportLifetime = std::chrono::milliseconds(600);

// Names an upstream in digests. Two of 2,900 share one in a thousandth of all
// fleets, and then count each other's load.
std::uint32_t DigestKey(const Upstream& upstream);

enum class ListingChange : std::uint8_t { kNone, kAdded, kRestarted, kUpdated };

// Adds or replaces a listing. A restart under the same id forgets what the old
// process kept and held.
ListingChange ApplyListing(UpstreamTable& table, const UpstreamListing& listing, TimePoint now);
// Drops the row at once.
void RemoveUpstream(UpstreamTable& table, std::string_view id, TimePoint now);
// Keeps the row in use until `removal_at`, for a removal that may be undone.
void HoldRemoval(UpstreamTable& table, std::string_view id, TimePoint removal_at);
// Drops rows whose held removal is due, and what is remembered of processes that
// were dropped long ago. Returns the ids of the rows.
std::vector<std::string> ExpireRemovals(UpstreamTable& table, TimePoint now);

bool IsCold(const Upstream& upstream, TimePoint now);
// Whether its failure domain seems cut off from this instance.
bool IsInSilentDomain(const UpstreamTable& table, const Upstream& upstream);
// False while leaving, removed, or in a failure domain that is out of service.
bool TakesNewWork(const UpstreamTable& table, const Upstream& upstream);
// Notes that it asked this instance for a pause from now on. A longer one that it
// asked for before still holds.
void RecordPause(Upstream& upstream, Duration pause, TimePoint now);
// Whether it asked this instance for a pause that is not over.
bool IsPaused(const Upstream& upstream, TimePoint now);
// When the first upstream of the service that takes new work ends its pause;
// nothing when one wants none now, or none takes new work.
std::optional<TimePoint> EarliestPauseEnd(const UpstreamTable& table,
                                          std::string_view service,
                                          TimePoint now);
// Requests of all instances at the upstream, by the newest of report and peers.
std::uint32_t EstimatedRunning(const UpstreamTable& table, const Upstream& upstream, TimePoint now);
std::uint64_t EstimatedPrefillTokens(const UpstreamTable& table, const Upstream& upstream);

// A failed connect sent nothing; it only says to try another upstream first.
void RecordConnectFailure(UpstreamHealth& health, TimePoint now);
// Another process answers at the upstream's address: it is gone, and its listing
// is out of date.
void RecordReplacement(UpstreamHealth& health, TimePoint now);
void RecordAttemptFailure(UpstreamHealth& health, TimePoint now);
void RecordAttemptSuccess(UpstreamHealth& health, TimePoint now);
double FailureRate(const UpstreamHealth& health, TimePoint now);

// Counts a request at an upstream for as long as it lives.
class RunningRequest {
 public:
  RunningRequest(UpstreamRow row, std::uint32_t uncached_tokens);
  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;
  ~RunningRequest();

  // The upstream has read the prompt: its first output is here.
  void RecordPrefillDone();

 private:
  UpstreamRow upstream;
  std::uint32_t prefill_tokens = 0;
};

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_UPSTREAM_TABLE_H_
