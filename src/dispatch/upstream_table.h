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
#include "dispatch/upstream_pace.h"

namespace geraniumspread::dispatch {

// An upstream as the platform publishes it.
struct UpstreamListing {
  std::string id;
  std::string service;
  std::string address;  // ip:port
  std::string failure_domain;
  // Version of its software. Upstreams of several versions may serve side by side.
  std::string version;
  std::uint32_t slots = 1;
  bool draining = false;
  // Remaining cold time when the entry was read.
  Duration cold_left{0};
  // Start of the process in Unix milliseconds; distinguishes processes that use the
  // same id.
  std::int64_t started_at_ms = 0;
};

// Outcomes of this instance's own attempts.
struct UpstreamHealth {
  // Moving average of failed attempts at `rated_at`, from 0 to 1.
  double failure_rate = 0;
  TimePoint rated_at;
  std::uint32_t connect_failures = 0;
  TimePoint avoid_until;
  TimePoint succeeded_at;
};

// Sign that the process of an upstream has ended.
struct EndedProcessSign {
  TimePoint observed_at;
  // Another process answered at the address. Otherwise a connect was refused.
  bool is_replaced = false;
};

struct EndedProcessSigns {
  // Newest sign that this instance or a peer observed.
  EndedProcessSign newest;
  // Newest sign that this instance observed, and the number of messages that still carry it.
  EndedProcessSign own;
  std::uint32_t sends_left = 0;
};

// Load that the upstream reported in a response to this instance or to a peer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  TimePoint at;
  std::uint32_t own_running = 0;
  // True if the report came from a peer; such a report is not forwarded again.
  bool from_peer = false;
};

// What a process of an upstream announced about itself. It stays valid until that
// process ends, whatever a later listing contains, because the platform may apply an
// older write late.
struct AnnouncedState {
  // The process is shutting down and accepts no new requests.
  bool leaving = false;
  // End of the pause that the upstream requested from this instance. A pause does not
  // lower its health, and other instances may still send to it.
  TimePoint pause_until;
};

// Belief about a rate that an upstream states in its answers for as long as it applies.
struct StatedRate {
  // Unset while none is stated.
  std::optional<double> per_second;
  // When the newest answer that this belief follows from arrived, here or at a peer.
  TimePoint heard_at;
  // What peers were last told, by `heard_at`, and the number of messages that still carry it.
  TimePoint told_at;
  std::uint32_t sends_left = 0;
};

// Limit of requests per second, over all instances, that an upstream names in its answers.
struct NamedLimit {
  StatedRate requests;
  // Requests that this instance sent to the upstream.
  SlidingCount sends;
};

// Requests of one instance at a brittle upstream.
struct GroupLoad {
  std::uint32_t running = 0;
  TimePoint at;
};

// What is known about an upstream that says it is brittle: it fails if it rejects too many requests
// within a second, and may hold fewer waiting requests than usual.
struct BrittleState {
  // Rejections of requests from all instances that it survives.
  StatedRate rejections;
  // True once an answer of this process arrived here or at a peer that told about it.
  bool has_answered = false;
  // When the newest known rejection arrived, here or at a peer.
  TimePoint rejected_at;
  // Requests in flight of other instances of its group, by the hash of the instance.
  std::unordered_map<std::uint64_t, GroupLoad> group_loads;
  // Own load that the group was last told, and when.
  std::uint32_t told_running = 0;
  TimePoint running_told_at;
  // When this instance last sent a request to the upstream.
  TimePoint sent_at;
  // Loans per second of all instances, at `rated_at`: requests beyond the shares.
  double loan_rate = 0;
  TimePoint rated_at;
};

struct Upstream {
  UpstreamListing listing;
  AnnouncedState announced;
  // StableHash of the id.
  std::uint64_t id_hash = 0;
  // StableHash of the listed version.
  std::uint64_t version = 0;
  TimePoint listed_at;
  // False after removal; in-flight requests keep the row alive.
  bool listed = true;
  // When a removal that was held because of a store outage takes effect.
  std::optional<TimePoint> removal_at;
  TimePoint cold_until;
  // In-flight requests of this instance, and those of their prompt tokens for which
  // the first output has not arrived.
  std::uint32_t running = 0;
  std::uint64_t pending_prefill_tokens = 0;
  std::optional<LoadReport> report;
  UpstreamPace pace;
  UpstreamHealth health;
  EndedProcessSigns ended;
  // When this instance last received bytes from the upstream.
  TimePoint last_received_at;
  PromptCacheModel prompt_cache;
  SlidingCount cold_sends;
  NamedLimit limit;
  BrittleState brittle;
};

// Load that the other instances have at one upstream.
struct RemoteLoad {
  std::uint32_t running = 0;
  std::uint64_t pending_prefill_tokens = 0;
};

using UpstreamRow = std::shared_ptr<Upstream>;

// A removed process that may be listed again.
struct DroppedProcess {
  AnnouncedState announced;
  NamedLimit limit;
  BrittleState brittle;
  TimePoint dropped_at;
};

// The upstreams of a service that have one version.
struct VersionListing {
  std::size_t upstreams = 0;
  // When the last one was removed.
  TimePoint last_listed_at;
};

struct UpstreamTable {
  // Services of the configuration in force; unset before the first one, when all upstreams count.
  // Upstreams of other services serve no request, and are kept because a later configuration may
  // name their service.
  std::optional<std::set<std::string, std::less<>>> configured_services;
  std::unordered_map<std::string, UpstreamRow> rows;
  // Keyed by id and start time of the process.
  std::map<std::pair<std::string, std::int64_t>, DroppedProcess> dropped;
  // Keyed by service; ordered by id, so that all instances iterate in the same order.
  std::unordered_map<std::string, std::vector<UpstreamRow>> by_service;
  // Keyed by service and then by version; also versions that are no longer listed.
  std::unordered_map<std::string, std::map<std::uint64_t, VersionListing>> versions;
  std::set<std::string, std::less<>> domains_out_of_service;
  // Failure domains from whose instances no digest arrives, which suggests a
  // partition.
  std::set<std::string, std::less<>> domains_silent;
  // By DigestKey.
  std::unordered_map<std::uint32_t, UpstreamRow> by_key;
  // Keyed by service; plain services only.
  std::unordered_map<std::string, MeanTime> service_times;
  // Keyed by DigestKey; maintained by the peer table.
  std::unordered_map<std::uint32_t, RemoteLoad> remote;
};

// Maximum age of a load report that is used. Most requests that a report counts are
// about as old, so the counts of the instances are more accurate than an older
// report.
inline constexpr Duration kReportLifetime = std::chrono::milliseconds(600);

// Returns the key of an upstream in digests. In one of 1,000 fleets of 2,900
// upstreams, two of them share a key and each is counted with the other's load.
std::uint32_t DigestKey(const Upstream& upstream);

enum class ListingChange : std::uint8_t { kNone, kAdded, kRestarted, kUpdated };

// Adds or replaces a listing. If another process now uses the id, the prompt cache
// model and load of the old process are discarded.
ListingChange ApplyListing(UpstreamTable& table, const UpstreamListing& listing, TimePoint now);
// Removes the upstream immediately.
void RemoveUpstream(UpstreamTable& table, std::string_view id, TimePoint now);
// Keeps the upstream in use until `removal_at`, because the removal may be undone.
void HoldRemoval(UpstreamTable& table, std::string_view id, TimePoint removal_at);
// Removes the upstreams whose held removal is due, and the announced state of
// processes that were removed long ago. Returns the ids of the removed upstreams.
std::vector<std::string> ExpireRemovals(UpstreamTable& table, TimePoint now);

// True if requests may use the upstream: the configuration names its service, or there is none yet.
bool IsConfigured(const UpstreamTable& table, const Upstream& upstream);
// Returns the number of upstreams whose service is configured.
std::size_t CountConfigured(const UpstreamTable& table);
bool IsCold(const Upstream& upstream, TimePoint now);
// True if no digest arrives from its failure domain, which suggests a partition.
bool IsInSilentDomain(const UpstreamTable& table, const Upstream& upstream);
// False while leaving, removed, or in a failure domain that is out of service.
bool TakesNewWork(const UpstreamTable& table, const Upstream& upstream);
// Records that the upstream requested a pause from this instance, starting now. It
// does not shorten an earlier pause that ends later.
void RecordPause(Upstream& upstream, Duration pause, TimePoint now);
// True until the requested pause is over.
bool IsPaused(const Upstream& upstream, TimePoint now);
// If all upstreams of the service that take new work are paused, returns the earliest
// end of a pause. Otherwise, or if no upstream takes new work, returns nullopt.
std::optional<TimePoint> EarliestPauseEnd(const UpstreamTable& table,
                                          std::string_view service,
                                          TimePoint now);
// Estimates the requests of all instances at the upstream from its load report, if
// recent, and the digests of the peers.
std::uint32_t EstimatedRunning(const UpstreamTable& table, const Upstream& upstream, TimePoint now);
std::uint64_t EstimatedPrefillTokens(const UpstreamTable& table, const Upstream& upstream);

// A failed connect sent no request; it only makes other upstreams be tried first.
void RecordConnectFailure(UpstreamHealth& health, TimePoint now);
// Call when another process responds at the upstream's address: the upstream is gone
// and its listing is out of date.
void RecordReplacement(UpstreamHealth& health, TimePoint now);
void RecordAttemptFailure(UpstreamHealth& health, TimePoint now);
void RecordAttemptSuccess(UpstreamHealth& health, TimePoint now);
double FailureRate(const UpstreamHealth& health, TimePoint now);

// Counts one request at an upstream for the lifetime of this object.
class RunningRequest {
 public:
  RunningRequest(UpstreamRow row, std::uint32_t uncached_tokens);
  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;
  ~RunningRequest();

  // Call at the first output: prefill of the prompt is complete.
  void RecordPrefillDone();

 private:
  UpstreamRow upstream;
  std::uint32_t prefill_tokens = 0;
};

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_UPSTREAM_TABLE_H_
