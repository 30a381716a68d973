#ifndef DISPATCH_CRASH_QUARANTINE_H_
#define DISPATCH_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/dispatch_types.h"
#include "dispatch/upstream_table.h"

// Finds out what the requests that crash upstreams have in common, and keeps such requests
// away from the upstreams. Each instance sees only some of the crashes, with several requests
// in flight, so the instances exchange evidence.
namespace geraniumspread::dispatch {

// Something that requests have in common: the id of a shared prompt part, or a hash of the
// whole request.
using Trait = std::uint64_t;

struct RequestTraits {
  std::vector<Trait> shared_parts;
  Trait whole_request = 0;
};
// The whole request, then the parts in the order of the prompt.
std::vector<Trait> AllTraits(const RequestTraits& traits);
// Returns the ids of all parts but the last, which no other request has.
std::vector<Trait> SharedPartIds(const Prompt& prompt);

struct CrashQuarantineSettings {
  // Crashes without an answer in between after which a trait is quarantined.
  std::size_t crashes = 2;
  // The same if upstreams have begun to answer other requests with the trait: it is probably
  // only shared with the requests at fault.
  std::size_t crashes_if_begun = 5;
  // Crashes closer together count once, because a partition breaks the connections to several
  // upstreams at the same time.
  Duration same_incident = std::chrono::milliseconds(250);
  // A crash doesn't count against a trait for which an answer came so shortly before.
  Duration answer_validity = std::chrono::seconds(1);
  // Time after which a crash no longer counts, and a past quarantine is forgotten.
  Duration memory = std::chrono::minutes(10);
  // The first quarantine of a trait; each further one is twice as long.
  Duration first_quarantine = std::chrono::minutes(1);
  Duration max_quarantine = std::chrono::minutes(32);
  // After a quarantine, one more instance per step may send requests with the trait, so that
  // one crash shows whether they still crash upstreams.
  Duration probation_step = std::chrono::seconds(5);
  std::size_t max_suspects = 256;
  std::size_t max_begun = 1024;
};

// Identifies a process of an upstream, also after its listing is gone.
std::uint32_t ProcessKey(const UpstreamListing& listing);

struct Crash {
  std::uint32_t process = 0;
  TimePoint at;
};

struct SuspectTrait {
  // The newest crashes since the last answer, also those that led to a quarantine.
  std::vector<Crash> crashes;
  // Some upstream has begun to answer a request with the trait.
  bool has_begun = false;
  // Position in the prompt, from 1; fewer requests share the later parts. 0 for a whole request.
  std::uint32_t depth = 0;
  // When an upstream last survived a request with the trait.
  std::optional<TimePoint> answered_at;
  std::uint32_t quarantines = 0;
  TimePoint quarantined_at;
  // Number of messages that still carry this evidence.
  std::uint32_t sends_left = 0;
};

struct CrashQuarantine {
  CrashQuarantineSettings settings;
  std::unordered_map<Trait, SuspectTrait> suspects;
  // Shared parts of which this instance saw the begin of an answer; the most recent first.
  std::list<Trait> begun;
  std::unordered_map<Trait, std::list<Trait>::iterator> begun_by_trait;
};

// What an instance knows about a trait, as sent to its peers.
struct CrashEvidence {
  struct Row {
    std::uint32_t process = 0;
    Duration age{0};
  };
  Trait trait = 0;
  std::vector<Row> crashes;
  bool has_begun = false;
  std::uint32_t depth = 0;
  std::optional<Duration> answer_age;
  std::uint32_t quarantines = 0;
  Duration quarantine_age{0};
};

// Traits whose quarantine began or ended with a change.
struct QuarantineChange {
  std::vector<Trait> began;
  std::vector<Trait> ended;
};

// Records that an upstream process crashed while these requests waited for it.
QuarantineChange RecordCrash(CrashQuarantine& quarantine,
                             const Crash& crash,
                             std::span<const RequestTraits> requests);
// Records that an upstream began to answer a request with these traits.
void RecordBegin(CrashQuarantine& quarantine, const RequestTraits& traits);
// Records that an upstream answered a request with these traits and survived.
QuarantineChange RecordAnswer(CrashQuarantine& quarantine,
                              const RequestTraits& traits,
                              TimePoint now);
QuarantineChange MergeEvidence(CrashQuarantine& quarantine,
                               std::span<const CrashEvidence> evidence,
                               TimePoint now);
// Returns evidence that peers may not know yet, the most urgent first.
std::vector<CrashEvidence> TakeEvidenceToSend(CrashQuarantine& quarantine, TimePoint now);
// Sends all quarantines once more, for peers that missed one.
void RepeatQuarantines(CrashQuarantine& quarantine);
// Sends all quarantines and recent crashes once more, for peers that restarted or were cut off.
void ResendEvidence(CrashQuarantine& quarantine, TimePoint now);
void ExpireEvidence(CrashQuarantine& quarantine, TimePoint now);

struct QuarantineHit {
  Trait trait = 0;
  // Time until this instance may send a request with the trait again.
  Duration remaining{0};
};
// Returns the trait because of which this instance must not send the request now, if any.
std::optional<QuarantineHit> FindQuarantine(const CrashQuarantine& quarantine,
                                            const RequestTraits& traits,
                                            std::uint64_t own_hash,
                                            std::span<const std::uint64_t> peer_hashes,
                                            TimePoint now);
// Returns the end of the last quarantine of the trait.
TimePoint QuarantineEnd(const CrashQuarantineSettings& settings, const SuspectTrait& suspect);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_CRASH_QUARANTINE_H_
