#ifndef DISPATCH_TESTS_TEST_FLEET_H_
#define DISPATCH_TESTS_TEST_FLEET_H_

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/peer_table.h"

namespace geraniumspread::dispatch::test {

inline constexpr Duration kFleetStep = std::chrono::milliseconds(10);
inline constexpr TimePoint kFleetStart{std::chrono::hours(1)};

struct FleetInstance {
  PeerTable peers;
  UpstreamTable upstreams;
  Duration phase{0};
  std::uint64_t sequence = 0;
  bool running = true;
};

// Instances that exchange digests at their own phases, of which some are lost. A cut separates
// one failure domain from the others.
class Fleet {
 public:
  Fleet(const std::map<std::string, int>& domains, std::uint64_t seed) : random(seed) {
    for (const auto& [domain, count] : domains) {
      for (int number = 0; number < count; ++number) {
        const std::string address = domain + std::to_string(number);
        FleetInstance& instance = this->instances[address];
        instance.peers.self_address = address;
        instance.peers.self_domain = domain;
        instance.peers.started_at = kFleetStart;
        instance.phase = kFleetStep * std::uniform_int_distribution<int>(0, 19)(this->random);
      }
    }
  }

  // Every instance knows all others.
  void Introduce() {
    for (auto& [address, instance] : this->instances) {
      for (auto& [other, sender] : this->instances) {
        ApplyDigest(instance.peers, instance.upstreams, this->MakeDigest(sender), this->now);
      }
    }
  }

  // The instances start at random moments within `span`.
  void StartWithin(Duration span) {
    for (auto& [address, instance] : this->instances) {
      const auto steps = static_cast<int>(span / kFleetStep);
      instance.peers.started_at +=
          kFleetStep * std::uniform_int_distribution<int>(0, steps)(this->random);
    }
  }

  // Instances that know nobody send their digests to these.
  void SetSeeds(std::vector<std::string> addresses) { this->seeds = std::move(addresses); }

  // Advances the fleet, and calls `at_step` for each instance in each step. Returns each domain
  // that an instance presumed partitioned, by the time since the start of this call.
  std::multimap<Duration, std::string> Run(
      Duration duration,
      const std::function<void(FleetInstance&, TimePoint)>& at_step = nullptr) {
    std::multimap<Duration, std::string> presumed;
    for (Duration elapsed{0}; elapsed < duration; elapsed += kFleetStep, this->now += kFleetStep) {
      for (auto& [address, instance] : this->instances) {
        if (!this->IsRunning(instance)) {
          continue;
        }
        if (at_step) {
          at_step(instance, this->now);
        }
        const Duration interval = instance.peers.settings.interval;
        if ((elapsed + instance.phase) % interval != Duration{0}) {
          continue;
        }
        for (const std::string& domain :
             UpdateDomainSilence(instance.peers, instance.upstreams, this->now)) {
          presumed.emplace(elapsed, domain);
        }
        this->Send(instance);
      }
    }
    return presumed;
  }

  void Cut(const std::string& domain) { this->cut = domain; }
  void Kill(const std::string& address) { this->instances.at(address).running = false; }

 private:
  static constexpr double kLostDatagrams = 0.01;

  bool IsRunning(const FleetInstance& instance) const {
    return instance.running && instance.peers.started_at <= this->now;
  }

  PeerDigest MakeDigest(FleetInstance& sender) {
    PeerDigest digest;
    digest.instance = sender.peers.self_address;
    digest.incarnation = 1;
    digest.sequence = ++sender.sequence;
    digest.address = sender.peers.self_address;
    digest.failure_domain = sender.peers.self_domain;
    digest.known_addresses = AddressesToShare(sender.peers, this->random, this->now);
    return digest;
  }

  void Send(FleetInstance& sender) {
    const PeerDigest digest = this->MakeDigest(sender);
    std::vector<std::string> targets = DigestTargets(sender.peers, false, this->random, this->now);
    for (const std::string& seed : this->seeds) {
      if (seed != digest.address && !sender.peers.peers.contains(seed)) {
        targets.push_back(seed);
      }
    }
    for (const std::string& target : targets) {
      FleetInstance& receiver = this->instances.at(target);
      const bool is_cut =
          (receiver.peers.self_domain == this->cut) != (sender.peers.self_domain == this->cut);
      if (this->IsRunning(receiver) && !is_cut &&
          !std::bernoulli_distribution(kLostDatagrams)(this->random)) {
        ApplyDigest(receiver.peers, receiver.upstreams, digest, this->now);
      }
    }
  }

  std::map<std::string, FleetInstance> instances;
  std::vector<std::string> seeds;
  std::string cut;
  std::mt19937_64 random;
  TimePoint now = kFleetStart;
};

}  // namespace geraniumspread::dispatch::test

#endif  // DISPATCH_TESTS_TEST_FLEET_H_
