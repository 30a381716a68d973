#include "dispatch/crash_quarantine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Trait kCrashingPart = 666;
constexpr Trait kCommonPart = 1;
constexpr auto kCrashesNeeded = static_cast<std::uint32_t>(CrashQuarantineSettings{}.crashes);

RequestTraits Request(std::vector<Trait> shared_parts, Trait whole) {
  return {std::move(shared_parts), whole};
}

bool Refuses(const CrashQuarantine& quarantine, const RequestTraits& traits, TimePoint now) {
  return FindQuarantine(quarantine, traits, 0, {}, now).has_value();
}

// Lets an upstream crash with one request in flight.
void CrashWith(CrashQuarantine& quarantine,
               std::uint32_t process,
               const RequestTraits& traits,
               TimePoint now) {
  RecordCrash(quarantine, {process, now}, {&traits, 1});
}

bool Contains(const std::vector<CrashEvidence>& evidence, Trait trait) {
  return std::ranges::find(evidence, trait, &CrashEvidence::trait) != evidence.end();
}

// Sends all evidence of one instance to another.
void Send(CrashQuarantine& from, CrashQuarantine& to, TimePoint now) {
  while (true) {
    const std::vector<CrashEvidence> evidence = TakeEvidenceToSend(from, now);
    if (evidence.empty()) {
      return;
    }
    MergeEvidence(to, evidence, now);
  }
}

// Pattern: no two of the crashing requests are alike, and others share all their parts but
// one.
BOOST_AUTO_TEST_CASE(OnlyThePartThatAllCrashesHaveInCommonIsQuarantined) {
  CrashQuarantine quarantine;
  TimePoint now = kStart;
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash, now += 800ms) {
    const Trait chat = 100 + crash;
    BOOST_TEST(!Refuses(quarantine, Request({kCommonPart, chat, kCrashingPart}, 9), now));
    CrashWith(quarantine, crash, Request({kCommonPart, chat, kCrashingPart}, 1000 + crash), now);
    RecordAnswer(quarantine, Request({kCommonPart, 50}, 2000 + crash), now + 100ms);
  }
  BOOST_TEST(Refuses(quarantine, Request({kCommonPart, 7, kCrashingPart}, 9), now));
  BOOST_TEST(!Refuses(quarantine, Request({kCommonPart, 101}, 9), now));
}

// Guards against a quarantine of a sound part that came with the crashing one in all crashes,
// and of which no answer has begun yet. If it is at fault too, one more crash shows it.
BOOST_AUTO_TEST_CASE(OfTwoPartsThatAlwaysCameTogetherTheLaterIsQuarantined) {
  CrashQuarantine quarantine;
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
    CrashWith(quarantine, crash, Request({5, kCrashingPart}, crash), kStart + crash * 1s);
  }
  BOOST_TEST(Refuses(quarantine, Request({5, kCrashingPart}, 9), kStart + 4s));
  BOOST_TEST(!Refuses(quarantine, Request({5}, 9), kStart + 4s));
  CrashWith(quarantine, 4, Request({5}, 9), kStart + 5s);
  BOOST_TEST(Refuses(quarantine, Request({5}, 10), kStart + 6s));
}

// The same at an instance that hears of the quarantine before it has all the evidence.
BOOST_AUTO_TEST_CASE(APeerAttributesTheCrashesToTheSamePart) {
  CrashQuarantine one;
  CrashQuarantine other;
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
    CrashWith(one, crash, Request({5, kCrashingPart}, crash), kStart + crash * 1s);
    if (crash < kCrashesNeeded) {
      CrashWith(other, crash, Request({5}, 10 + crash), kStart + crash * 1s);
    }
  }
  Send(one, other, kStart + 3s);
  CrashWith(other, kCrashesNeeded, Request({5}, 13), kStart + kCrashesNeeded * 1s);
  BOOST_TEST(Refuses(other, Request({5, kCrashingPart}, 9), kStart + 4s));
  BOOST_TEST(!Refuses(other, Request({5}, 9), kStart + 4s));
}

// Guards against a caller that repeats its request: the part is found as soon as the request.
BOOST_AUTO_TEST_CASE(APartIsFoundAlthoughOneRequestIsRepeated) {
  CrashQuarantine quarantine;
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
    CrashWith(quarantine, crash, Request({kCrashingPart}, 77), kStart + crash * 1s);
  }
  BOOST_TEST(Refuses(quarantine, Request({kCrashingPart}, 78), kStart + 4s));
}

// Guards against a repeated request that hides the part at fault. Answers with the part have
// begun before, so it needs more crashes than the request.
BOOST_AUTO_TEST_CASE(ARepeatedRequestDoesNotExplainTheCrashesOfItsParts) {
  CrashQuarantine quarantine;
  RecordBegin(quarantine, Request({kCrashingPart}, 1));
  for (std::uint32_t crash = 1; crash <= quarantine.settings.crashes_if_begun; ++crash) {
    CrashWith(quarantine, crash, Request({kCrashingPart}, 77), kStart + crash * 1s);
  }
  BOOST_TEST(Refuses(quarantine, Request({kCrashingPart}, 78), kStart + 6s));
}

// Guards against requests that repeat exactly and have no prompt: they crash plain services.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesUpstreamsIsQuarantined) {
  CrashQuarantine quarantine;
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
    CrashWith(quarantine, crash, Request({}, 77), kStart + crash * 1s);
  }
  BOOST_TEST(Refuses(quarantine, Request({}, 77), kStart + 4s));
  BOOST_TEST(!Refuses(quarantine, Request({}, 78), kStart + 4s));
}

// Guards against a quarantine of requests that were only in flight at the crashes of others:
// an answer in between clears them.
BOOST_AUTO_TEST_CASE(ATraitThatIsAnsweredBetweenCrashesIsNotQuarantined) {
  CrashQuarantine quarantine;
  const RequestTraits bystander = Request({kCommonPart, 5}, 6);
  TimePoint now = kStart;
  for (std::uint32_t crash = 1; crash <= 12; ++crash, now += 2s) {
    CrashWith(quarantine, crash, bystander, now);
    if (crash % 2 == 0) {
      RecordAnswer(quarantine, bystander, now + 500ms);
    }
  }
  BOOST_TEST(!Refuses(quarantine, bystander, now));
}

// Guards against taking a partition for crashes: the connections to many upstreams break
// within a moment, and a request that is repeated meets several of them.
BOOST_AUTO_TEST_CASE(UpstreamsLostAtTheSameTimeCountOnce) {
  CrashQuarantine quarantine;
  for (std::uint32_t upstream = 1; upstream <= 20; ++upstream) {
    CrashWith(quarantine, upstream, Request({5}, 6), kStart + upstream * 10ms);
  }
  BOOST_TEST(!Refuses(quarantine, Request({5}, 6), kStart + 1s));
}

// Each of six instances sees one crash; none could tell alone.
BOOST_AUTO_TEST_CASE(EvidenceOfAllInstancesAddsUp) {
  std::vector<CrashQuarantine> instances(6);
  TimePoint now = kStart;
  for (std::uint32_t crash = 0; crash < kCrashesNeeded; ++crash, now += 1s) {
    CrashWith(instances[crash], crash + 1, Request({kCrashingPart}, 1000 + crash), now);
    for (CrashQuarantine& other : instances) {
      if (&other != &instances[crash]) {
        Send(instances[crash], other, now + 200ms);
        ResendEvidence(instances[crash], now);
      }
    }
  }
  for (const CrashQuarantine& instance : instances) {
    BOOST_TEST(Refuses(instance, Request({kCrashingPart}, 1), now));
  }
}

// Guards against counting one crash several times because several instances saw it.
BOOST_AUTO_TEST_CASE(OneCrashSeenBySeveralInstancesCountsOnce) {
  CrashQuarantine one;
  CrashQuarantine other;
  for (const auto delay : {0ms, 300ms, 600ms}) {
    CrashWith(one, 1, Request({5}, 6), kStart + delay);
    CrashWith(other, 1, Request({5}, 7), kStart + delay);
    Send(other, one, kStart + delay);
  }
  BOOST_TEST(!Refuses(one, Request({5}, 6), kStart + 1s));
}

// An answer that only one instance saw clears the trait at the others.
BOOST_AUTO_TEST_CASE(AnAnswerAtOneInstanceClearsTheTraitAtAll) {
  CrashQuarantine one;
  CrashQuarantine other;
  for (std::uint32_t crash = 1; crash <= 8; ++crash) {
    const TimePoint now = kStart + crash * 2s;
    RecordAnswer(other, Request({5}, 100 + crash), now - 1500ms);
    CrashWith(one, crash, Request({5}, crash), now);
    Send(one, other, now + 200ms);
    Send(other, one, now + 400ms);
  }
  BOOST_TEST(!Refuses(one, Request({5}, 9), kStart + 20s));
  BOOST_TEST(!Refuses(other, Request({5}, 9), kStart + 20s));
}

// Guards against a quarantine that is forgotten by a restarted instance.
BOOST_AUTO_TEST_CASE(ARestartedInstanceLearnsTheQuarantine) {
  CrashQuarantine one;
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
    CrashWith(one, crash, Request({5}, crash), kStart + crash * 1s);
  }
  while (!TakeEvidenceToSend(one, kStart + 4s).empty()) {
  }
  CrashQuarantine restarted;
  ResendEvidence(one, kStart + 10s);
  Send(one, restarted, kStart + 10s);
  BOOST_TEST(Refuses(restarted, Request({5}, 9), kStart + 10s));
  BOOST_TEST(!Refuses(restarted, Request({5}, 9),
                      kStart + kCrashesNeeded * 1s + one.settings.first_quarantine));
}

// Guards against a trait that is shut out for ever, and against all instances trying it at
// once. One instance tries first; an answer ends the quarantine everywhere, a crash begins one
// of twice the length.
BOOST_AUTO_TEST_CASE(AQuarantineEndsWithATrialAtOneInstance) {
  for (const bool is_mended : {true, false}) {
    CrashQuarantine quarantine;
    for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
      CrashWith(quarantine, crash, Request({5}, crash), kStart + crash * 1s);
    }
    const Duration first = quarantine.settings.first_quarantine;
    const TimePoint end = kStart + kCrashesNeeded * 1s + first;
    const std::vector<std::uint64_t> hashes{11, 22, 33, 44, 55, 66};
    const auto senders = [&](TimePoint now) {
      return std::ranges::count_if(hashes, [&](std::uint64_t own) {
        std::vector<std::uint64_t> peers = hashes;
        std::erase(peers, own);
        return !FindQuarantine(quarantine, Request({5}, 9), own, peers, now).has_value();
      });
    };
    BOOST_TEST(senders(end - 1ms) == 0);
    BOOST_TEST(senders(end) == 1);
    BOOST_TEST(senders(end + 1min) == 6);
    if (is_mended) {
      RecordAnswer(quarantine, Request({5}, 9), end + 1s);
      BOOST_TEST(senders(end + 1s) == 6);
    } else {
      CrashWith(quarantine, 4, Request({5}, 9), end + 1s);
      BOOST_TEST(senders(end + 1s + 2 * first - 1ms) == 0);
      BOOST_TEST(senders(end + 1s + 2 * first) == 1);
    }
  }
}

// Guards against a quarantine that comes back after it has ended: an instance that missed the
// end still sends it.
BOOST_AUTO_TEST_CASE(AReleasedTraitIsNotQuarantinedAgainByAPeerThatMissedTheRelease) {
  CrashQuarantine released;
  CrashQuarantine behind;
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
    CrashWith(released, crash, Request({5}, crash), kStart + crash * 1s);
  }
  Send(released, behind, kStart + 3s);
  RecordAnswer(released, Request({5}, 9), kStart + 4s);
  while (!TakeEvidenceToSend(released, kStart + 4s).empty()) {
  }
  ExpireEvidence(released, kStart + 5s);
  ResendEvidence(behind, kStart + 10s);
  Send(behind, released, kStart + 10s);
  BOOST_TEST(!Refuses(released, Request({5}, 10), kStart + 10s));
  Send(released, behind, kStart + 11s);
  BOOST_TEST(!Refuses(behind, Request({5}, 10), kStart + 11s));
}

// Pattern: an upstream crashes under many requests, most of their traits belong to sound ones.
// Guards against evidence on the part at fault that waits behind repeats of other evidence.
BOOST_AUTO_TEST_CASE(PartsOfWhichNoAnswerHasBegunAreSentFirst) {
  for (Trait crashing_part = 1; crashing_part <= 40; ++crashing_part) {
    CrashQuarantine quarantine;
    std::vector<RequestTraits> requests;
    for (Trait request = 0; request < 10; ++request) {
      const Trait first = 1000 + request * 10;
      requests.push_back(Request({first, first + 1}, first + 3));
      RecordBegin(quarantine, requests.back());
    }
    requests.push_back(Request({1000, 1010, crashing_part}, 9));
    RecordCrash(quarantine, {1, kStart}, requests);
    BOOST_TEST(Contains(TakeEvidenceToSend(quarantine, kStart), crashing_part));
  }
}

// The same for evidence that arrives while older evidence is still being repeated.
BOOST_AUTO_TEST_CASE(NewEvidenceIsSentBeforeRepeats) {
  CrashQuarantine quarantine;
  for (Trait request = 1; request <= 6; ++request) {
    CrashWith(quarantine, 1, Request({}, request), kStart + 1s);
  }
  BOOST_TEST(TakeEvidenceToSend(quarantine, kStart + 1s).size() == 6U);
  CrashWith(quarantine, 2, Request({}, 7), kStart);
  BOOST_TEST(Contains(TakeEvidenceToSend(quarantine, kStart + 1s), 7));
}

// Guards against an old crash that replaces a newer one, which the peers then send back.
BOOST_AUTO_TEST_CASE(AnInstanceKeepsTheNewestCrashes) {
  CrashQuarantine one;
  CrashQuarantine other;
  RecordBegin(one, Request({5}, 1));
  RecordBegin(other, Request({5}, 1));
  for (std::uint32_t crash = 1; crash <= 6; ++crash) {
    CrashWith(one, crash, Request({5}, 100 + crash), kStart + crash * 1s);
  }
  CrashWith(other, 1, Request({5}, 101), kStart + 1s);
  while (!TakeEvidenceToSend(one, kStart + 7s).empty()) {
  }
  Send(other, one, kStart + 7s);
  const std::vector<Crash>& kept = one.suspects.at(5).crashes;
  BOOST_TEST(std::ranges::min(kept, {}, &Crash::at).process == 2U);
  BOOST_TEST(one.suspects.at(5).sends_left == 0U);
}

// Guards against evidence that grows with the traffic.
BOOST_AUTO_TEST_CASE(TheEvidenceIsBounded) {
  CrashQuarantine quarantine;
  TimePoint now = kStart;
  for (std::uint32_t crash = 1; crash <= 200; ++crash, now += 1s) {
    for (Trait request = 0; request < 20; ++request) {
      const Trait first = crash * Trait{1000} + request * 10;
      CrashWith(quarantine, crash, Request({first, first + 1, first + 2}, first + 3), now);
      RecordAnswer(quarantine, Request({first + 4, first + 5}, first + 6), now);
    }
    BOOST_TEST(TakeEvidenceToSend(quarantine, now).size() <= 6U);
  }
  BOOST_TEST(quarantine.suspects.size() <= quarantine.settings.max_suspects);
  BOOST_TEST(quarantine.begun.size() <= quarantine.settings.max_begun);
  BOOST_TEST(quarantine.begun_by_trait.size() == quarantine.begun.size());
  ExpireEvidence(quarantine, now + 1h);
  while (!TakeEvidenceToSend(quarantine, now + 1h).empty()) {
  }
  ExpireEvidence(quarantine, now + 2h);
  BOOST_TEST(quarantine.suspects.empty());
}

// A fleet of the design size, where each message goes to four random instances.
struct LargeFleet {
  // Sends the next message of one instance. Returns the receivers that learned of a quarantine.
  std::vector<std::size_t> SendFrom(std::size_t sender, TimePoint now) {
    const std::vector<CrashEvidence> evidence = TakeEvidenceToSend(this->instances[sender], now);
    std::vector<std::size_t> informed;
    for (std::size_t target = 0; target < kTargets && !evidence.empty(); ++target) {
      const std::size_t receiver = this->pick(this->random);
      this->rows_sent += evidence.size();
      if (!MergeEvidence(this->instances[receiver], evidence, now).began.empty()) {
        informed.push_back(receiver);
      }
    }
    return informed;
  }

  void SendFromAll(TimePoint now) {
    for (std::size_t instance = 0; instance < this->instances.size(); ++instance) {
      this->SendFrom(instance, now);
    }
  }

  std::size_t CountRefusing(TimePoint now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->instances, [now](const CrashQuarantine& instance) {
          return Refuses(instance, Request({kCrashingPart}, 99), now);
        }));
  }

  CrashQuarantine& Random() { return this->instances[this->pick(this->random)]; }

  static constexpr std::size_t kInstances = 410;
  static constexpr std::size_t kTargets = 4;
  std::vector<CrashQuarantine> instances = std::vector<CrashQuarantine>(kInstances);
  std::mt19937_64 random{1};
  std::uniform_int_distribution<std::size_t> pick{0, kInstances - 1};
  std::size_t rows_sent = 0;
};

// Pattern: many requests with the part arrive each second over a large fleet. Guards against
// upstreams that crash while a quarantine waits for the next message of each instance: those who
// hear of it tell four others at once. The rest hear of it one interval later.
BOOST_AUTO_TEST_CASE(AQuarantineReachesMostOfAFleetAtOnce) {
  LargeFleet fleet;
  // Evidence on sound requests also waits to be sent.
  for (std::size_t instance = 0; instance < LargeFleet::kInstances; ++instance) {
    for (Trait request = 0; request < 8; ++request) {
      CrashWith(fleet.instances[instance], 1, Request({}, 1000 + instance * 10 + request), kStart);
    }
  }
  for (std::uint32_t crash = 1; crash <= kCrashesNeeded; ++crash) {
    CrashWith(fleet.instances[0], crash, Request({kCrashingPart}, crash), kStart + crash * 300ms);
  }
  const TimePoint now = kStart + 1s;
  std::vector<std::size_t> informed{0};
  for (std::size_t next = 0; next < informed.size(); ++next) {
    const std::vector<std::size_t> receivers = fleet.SendFrom(informed[next], now);
    informed.insert(informed.end(), receivers.begin(), receivers.end());
  }
  BOOST_TEST(fleet.CountRefusing(now) >= 390U);
  fleet.SendFromAll(now);
  BOOST_TEST(fleet.CountRefusing(now) == LargeFleet::kInstances);
}

// Each instance sends evidence every 200 ms. The rule of the users allows several seconds from
// the fifth crash to the quarantine at all.
BOOST_AUTO_TEST_CASE(AFleetOfFourHundredAgreesWithinTwoSeconds) {
  LargeFleet fleet;
  TimePoint now = kStart;
  for (std::uint32_t crash = 1; crash <= 5; ++crash) {
    CrashWith(fleet.Random(), crash, Request({kCommonPart, kCrashingPart}, crash),
              now + crash * 300ms);
  }
  now += 1500ms;
  for (const TimePoint end = now + 2s; now < end; now += 200ms) {
    fleet.SendFromAll(now);
  }
  BOOST_TEST(fleet.CountRefusing(now) == LargeFleet::kInstances);
}

// Guards against control traffic that grows with the number of past crashes: engines of a large
// fleet crash for many reasons, and the news of a crash is told only while it is new.
BOOST_AUTO_TEST_CASE(EvidenceIsNotRepeatedOnceAllKnowIt) {
  constexpr int kTicksPerSecond = 5;
  LargeFleet fleet;
  for (int tick = 0; tick < 30 * kTicksPerSecond; ++tick) {
    const TimePoint now = kStart + tick * 200ms;
    // One crash a second in the first ten seconds, seen by eight instances.
    if (tick % kTicksPerSecond == 0 && tick < 10 * kTicksPerSecond) {
      for (Trait seen = 0; seen < 8; ++seen) {
        const Trait part = 1000 + tick * 100 + seen * 10;
        CrashWith(fleet.Random(), 1 + tick, Request({part}, part + 1), now);
      }
    }
    if (tick % (2 * kTicksPerSecond) == 0) {
      std::ranges::for_each(fleet.instances, RepeatQuarantines);
    }
    if (tick == 20 * kTicksPerSecond) {
      fleet.rows_sent = 0;
    }
    fleet.SendFromAll(now);
  }
  BOOST_TEST(fleet.rows_sent == 0U);
}

}  // namespace
}  // namespace geraniumspread::dispatch
