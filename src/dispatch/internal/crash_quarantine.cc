#include "dispatch/crash_quarantine.h"

#include <algorithm>
#include <tuple>

#include "common/hash.h"

namespace geraniumspread::dispatch {
namespace {

// Evidence goes into this many messages after a change. Each peer that learns something new
// passes it on, so it reaches a fleet of hundreds with high probability.
constexpr std::uint32_t kSendsAfterChange = 3;
// Traits in one message. A row takes up to 75 bytes, 45 with two crashes.
constexpr std::size_t kMaxSentTraits = 6;
// Crashes older than this are not sent again.
constexpr Duration kResendTime = std::chrono::seconds(20);
constexpr std::size_t kMaxCrashes = 5;

bool IsQuarantined(const CrashQuarantineSettings& settings,
                   const SuspectTrait& suspect,
                   TimePoint now) {
  return suspect.quarantines > 0 && now < QuarantineEnd(settings, suspect);
}

TimePoint LastChange(const SuspectTrait& suspect) {
  TimePoint last = std::max(suspect.quarantined_at, suspect.answered_at.value_or(TimePoint{}));
  for (const Crash& crash : suspect.crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

// If the table is full, removes the suspect with the weakest evidence.
void EvictIfFull(CrashQuarantine& quarantine) {
  if (quarantine.suspects.size() < quarantine.settings.max_suspects) {
    return;
  }
  quarantine.suspects.erase(std::ranges::min_element(quarantine.suspects, {}, [](const auto& item) {
    const SuspectTrait& suspect = item.second;
    return std::tuple(suspect.quarantines, suspect.crashes.size(), LastChange(suspect));
  }));
}

SuspectTrait& FindOrAdd(CrashQuarantine& quarantine, Trait trait) {
  if (const auto known = quarantine.suspects.find(trait); known != quarantine.suspects.end()) {
    return known->second;
  }
  EvictIfFull(quarantine);
  SuspectTrait& suspect = quarantine.suspects[trait];
  suspect.has_begun = quarantine.begun_by_trait.contains(trait);
  return suspect;
}

// True if the crash is explained by a quarantined part. A whole request explains nothing about
// its parts: a caller that repeats it makes it look worse than the part at fault.
bool IsExplained(const CrashQuarantine& quarantine, const Crash& crash) {
  return std::ranges::any_of(quarantine.suspects, [&crash](const auto& item) {
    const SuspectTrait& suspect = item.second;
    return suspect.quarantines > 0 && suspect.depth > 0 &&
           std::ranges::find(suspect.crashes, crash.process, &Crash::process) !=
               suspect.crashes.end();
  });
}

bool IsDisproved(const CrashQuarantineSettings& settings,
                 const SuspectTrait& suspect,
                 const Crash& crash) {
  return suspect.answered_at && crash.at <= *suspect.answered_at + settings.answer_validity;
}

bool IsSameIncident(const CrashQuarantineSettings& settings, const Crash& one, const Crash& other) {
  return one.process == other.process ||
         std::chrono::abs(one.at - other.at) < settings.same_incident;
}

void AddCrash(const CrashQuarantine& quarantine, SuspectTrait& suspect, const Crash& crash) {
  const bool is_known = std::ranges::any_of(suspect.crashes, [&](const Crash& known) {
    return IsSameIncident(quarantine.settings, known, crash);
  });
  if (is_known || IsDisproved(quarantine.settings, suspect, crash)) {
    return;
  }
  if (suspect.crashes.size() >= kMaxCrashes) {
    const auto oldest = std::ranges::min_element(suspect.crashes, {}, &Crash::at);
    if (crash.at < oldest->at) {
      return;
    }
    suspect.crashes.erase(oldest);
  }
  suspect.crashes.push_back(crash);
  suspect.sends_left = kSendsAfterChange;
}

void RememberBegin(CrashQuarantine& quarantine, Trait trait) {
  if (const auto known = quarantine.begun_by_trait.find(trait);
      known != quarantine.begun_by_trait.end()) {
    quarantine.begun.splice(quarantine.begun.begin(), quarantine.begun, known->second);
    return;
  }
  if (quarantine.begun.size() >= quarantine.settings.max_begun) {
    quarantine.begun_by_trait.erase(quarantine.begun.back());
    quarantine.begun.pop_back();
  }
  quarantine.begun.push_front(trait);
  quarantine.begun_by_trait[trait] = quarantine.begun.begin();
}

// Drops the crashes that the answer disproves. Returns true if a quarantine ended with it.
bool ApplyAnswer(const CrashQuarantine& quarantine, SuspectTrait& suspect, TimePoint answered_at) {
  if (suspect.answered_at.value_or(TimePoint{}) < answered_at) {
    suspect.answered_at = answered_at;
  }
  const auto disproved = std::erase_if(suspect.crashes, [&](const Crash& crash) {
    return IsDisproved(quarantine.settings, suspect, crash);
  });
  const bool ends_quarantine = suspect.quarantines > 0 && suspect.quarantined_at < answered_at;
  if (ends_quarantine) {
    suspect.quarantines = 0;
    suspect.crashes.clear();
  }
  if (disproved > 0 || ends_quarantine) {
    suspect.sends_left = kSendsAfterChange;
  }
  return ends_quarantine;
}

// True if a quarantine of the trait is due. Crashes that another trait explains are not enough:
// two parts may always come together, and the next crash shows whether both are at fault. They
// don't count at all if the trait is known to be shared with sound requests.
bool IsDue(const CrashQuarantine& quarantine, const SuspectTrait& suspect) {
  const CrashQuarantineSettings& settings = quarantine.settings;
  if (suspect.quarantines > 0) {
    return std::ranges::any_of(suspect.crashes, [&](const Crash& crash) {
      return crash.at > QuarantineEnd(settings, suspect);
    });
  }
  if (suspect.crashes.size() < settings.crashes) {
    return false;
  }
  const auto unexplained = static_cast<std::size_t>(std::ranges::count_if(
      suspect.crashes,
      [&quarantine](const Crash& crash) { return !IsExplained(quarantine, crash); }));
  return suspect.has_begun ? unexplained >= settings.crashes_if_begun : unexplained > 0;
}

// Quarantines the suspects that have enough crashes. A trait of which no answer has begun goes
// first, then one that fewer requests share: the others are more likely shared with sound
// requests.
void QuarantineSuspects(CrashQuarantine& quarantine, QuarantineChange& change) {
  while (true) {
    std::pair<const Trait, SuspectTrait>* worst = nullptr;
    const auto rank = [](const SuspectTrait& suspect) {
      return std::tuple(!suspect.has_begun, suspect.depth, suspect.crashes.size());
    };
    for (auto& item : quarantine.suspects) {
      if (IsDue(quarantine, item.second) &&
          (worst == nullptr || rank(item.second) > rank(worst->second))) {
        worst = &item;
      }
    }
    if (worst == nullptr) {
      return;
    }
    SuspectTrait& suspect = worst->second;
    suspect.quarantined_at = std::ranges::max(suspect.crashes, {}, &Crash::at).at;
    ++suspect.quarantines;
    suspect.sends_left = kSendsAfterChange;
    change.began.push_back(worst->first);
  }
}

// Adopts a quarantine that a peer knows of. Returns true if it is new.
bool AdoptQuarantine(const CrashQuarantine& quarantine,
                     SuspectTrait& suspect,
                     const CrashEvidence& evidence,
                     TimePoint now) {
  const TimePoint quarantined_at = now - evidence.quarantine_age;
  const bool is_disproved = suspect.answered_at.value_or(TimePoint{}) > quarantined_at;
  if (evidence.quarantines <= suspect.quarantines || is_disproved) {
    return false;
  }
  suspect.quarantines = evidence.quarantines;
  suspect.quarantined_at = quarantined_at;
  suspect.sends_left = kSendsAfterChange;
  return IsQuarantined(quarantine.settings, suspect, now);
}

// The order in which evidence is sent. New evidence goes before repeats, and the traits that are
// found after the fewest crashes go first.
auto Urgency(const SuspectTrait& suspect) {
  const bool is_new_quarantine = suspect.quarantines > 0 && suspect.sends_left > 1;
  return std::tuple(is_new_quarantine, suspect.sends_left, suspect.quarantines, !suspect.has_begun,
                    suspect.crashes.size(), suspect.depth, LastChange(suspect));
}

CrashEvidence EvidenceOf(Trait trait, const SuspectTrait& suspect, TimePoint now) {
  CrashEvidence evidence{trait};
  for (const Crash& crash : suspect.crashes) {
    evidence.crashes.push_back({crash.process, now - crash.at});
  }
  evidence.has_begun = suspect.has_begun;
  evidence.depth = suspect.depth;
  if (suspect.answered_at) {
    evidence.answer_age = now - *suspect.answered_at;
  }
  if (suspect.quarantines > 0) {
    evidence.quarantines = suspect.quarantines;
    evidence.quarantine_age = now - suspect.quarantined_at;
  }
  return evidence;
}

}  // namespace

std::vector<Trait> AllTraits(const RequestTraits& traits) {
  std::vector<Trait> all{traits.whole_request};
  all.insert(all.end(), traits.shared_parts.begin(), traits.shared_parts.end());
  return all;
}

std::vector<Trait> SharedPartIds(const Prompt& prompt) {
  std::vector<Trait> ids;
  for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
    ids.push_back(prompt.parts[index].id);
  }
  return ids;
}

std::uint32_t ProcessKey(const UpstreamListing& listing) {
  return static_cast<std::uint32_t>(
      MixHash(StableHash(listing.id), static_cast<std::uint64_t>(listing.started_at_ms)));
}

TimePoint QuarantineEnd(const CrashQuarantineSettings& settings, const SuspectTrait& suspect) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(std::max(suspect.quarantines, 1U) - 1, kMaxDoublings);
  return suspect.quarantined_at +
         std::min(settings.first_quarantine * (1U << doublings), settings.max_quarantine);
}

QuarantineChange RecordCrash(CrashQuarantine& quarantine,
                             const Crash& crash,
                             std::span<const RequestTraits> requests) {
  for (const RequestTraits& request : requests) {
    std::uint32_t depth = 0;
    for (const Trait trait : AllTraits(request)) {
      SuspectTrait& suspect = FindOrAdd(quarantine, trait);
      suspect.depth = std::max(suspect.depth, depth++);
      AddCrash(quarantine, suspect, crash);
    }
  }
  QuarantineChange change;
  QuarantineSuspects(quarantine, change);
  return change;
}

void RecordBegin(CrashQuarantine& quarantine, const RequestTraits& traits) {
  for (const Trait trait : traits.shared_parts) {
    RememberBegin(quarantine, trait);
    if (const auto suspect = quarantine.suspects.find(trait);
        suspect != quarantine.suspects.end() && !suspect->second.has_begun) {
      suspect->second.has_begun = true;
      suspect->second.sends_left = kSendsAfterChange;
    }
  }
}

QuarantineChange RecordAnswer(CrashQuarantine& quarantine,
                              const RequestTraits& traits,
                              TimePoint now) {
  QuarantineChange change;
  RecordBegin(quarantine, traits);
  for (const Trait trait : AllTraits(traits)) {
    if (const auto suspect = quarantine.suspects.find(trait);
        suspect != quarantine.suspects.end() && ApplyAnswer(quarantine, suspect->second, now)) {
      change.ended.push_back(trait);
    }
  }
  return change;
}

QuarantineChange MergeEvidence(CrashQuarantine& quarantine,
                               std::span<const CrashEvidence> evidence,
                               TimePoint now) {
  QuarantineChange change;
  for (const CrashEvidence& received : evidence) {
    SuspectTrait& suspect = FindOrAdd(quarantine, received.trait);
    suspect.depth = std::max(suspect.depth, received.depth);
    // Tells the peer of answers that it doesn't know of.
    if ((suspect.has_begun && !received.has_begun) ||
        (suspect.answered_at && !received.answer_age)) {
      suspect.sends_left = kSendsAfterChange;
    }
    if (received.has_begun && !suspect.has_begun) {
      suspect.has_begun = true;
      suspect.sends_left = kSendsAfterChange;
    }
    if (received.answer_age && ApplyAnswer(quarantine, suspect, now - *received.answer_age)) {
      change.ended.push_back(received.trait);
    }
    if (AdoptQuarantine(quarantine, suspect, received, now)) {
      change.began.push_back(received.trait);
    }
    for (const CrashEvidence::Row& crash : received.crashes) {
      AddCrash(quarantine, suspect, {crash.process, now - crash.age});
    }
  }
  QuarantineSuspects(quarantine, change);
  return change;
}

std::vector<CrashEvidence> TakeEvidenceToSend(CrashQuarantine& quarantine, TimePoint now) {
  std::vector<std::pair<const Trait, SuspectTrait>*> due;
  for (auto& item : quarantine.suspects) {
    if (item.second.sends_left > 0) {
      due.push_back(&item);
    }
  }
  const std::size_t count = std::min(due.size(), kMaxSentTraits);
  std::ranges::partial_sort(due, due.begin() + static_cast<std::ptrdiff_t>(count),
                            std::ranges::greater(),
                            [](const auto* item) { return Urgency(item->second); });
  std::vector<CrashEvidence> evidence;
  for (std::size_t index = 0; index < count; ++index) {
    --due[index]->second.sends_left;
    evidence.push_back(EvidenceOf(due[index]->first, due[index]->second, now));
  }
  return evidence;
}

void RepeatQuarantines(CrashQuarantine& quarantine) {
  for (auto& [trait, suspect] : quarantine.suspects) {
    if (suspect.quarantines > 0) {
      suspect.sends_left = std::max(suspect.sends_left, 1U);
    }
  }
}

void ResendEvidence(CrashQuarantine& quarantine, TimePoint now) {
  RepeatQuarantines(quarantine);
  for (auto& [trait, suspect] : quarantine.suspects) {
    if (!suspect.crashes.empty() && LastChange(suspect) + kResendTime > now) {
      suspect.sends_left = std::max(suspect.sends_left, 1U);
    }
  }
}

void ExpireEvidence(CrashQuarantine& quarantine, TimePoint now) {
  const CrashQuarantineSettings& settings = quarantine.settings;
  for (auto& [trait, suspect] : quarantine.suspects) {
    std::erase_if(suspect.crashes,
                  [&](const Crash& crash) { return crash.at + settings.memory < now; });
  }
  std::erase_if(quarantine.suspects, [&](const auto& item) {
    const SuspectTrait& suspect = item.second;
    if (suspect.quarantines > 0) {
      return QuarantineEnd(settings, suspect) + settings.memory < now;
    }
    // A peer that doesn't know the answer yet may still send the crashes that it disproves.
    const bool has_recent_answer =
        suspect.answered_at && *suspect.answered_at + settings.memory >= now;
    return suspect.crashes.empty() && suspect.sends_left == 0 && !has_recent_answer;
  });
}

std::optional<QuarantineHit> FindQuarantine(const CrashQuarantine& quarantine,
                                            const RequestTraits& traits,
                                            std::uint64_t own_hash,
                                            std::span<const std::uint64_t> peer_hashes,
                                            TimePoint now) {
  if (quarantine.suspects.empty()) {
    return std::nullopt;
  }
  for (const Trait trait : AllTraits(traits)) {
    const auto suspect = quarantine.suspects.find(trait);
    if (suspect == quarantine.suspects.end() || suspect->second.quarantines == 0) {
      continue;
    }
    const auto earlier_instances = std::ranges::count_if(peer_hashes, [&](std::uint64_t peer) {
      return MixHash(trait, peer) > MixHash(trait, own_hash);
    });
    const TimePoint trial_at = QuarantineEnd(quarantine.settings, suspect->second) +
                               earlier_instances * quarantine.settings.probation_step;
    if (now < trial_at) {
      return QuarantineHit{trait, trial_at - now};
    }
  }
  return std::nullopt;
}

}  // namespace geraniumspread::dispatch
