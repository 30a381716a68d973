#ifndef DISPATCH_TESTS_SIMULATED_INSTANCE_H_
#define DISPATCH_TESTS_SIMULATED_INSTANCE_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "dispatch/peer_table.h"

namespace geraniumspread::dispatch::test {

inline constexpr std::string_view kAddressPrefix = "10.0.0.";

// An instance of a simulated fleet, with tables of its own. Its address tells its index.
struct SimulatedInstance {
  SimulatedInstance(std::size_t index, std::string failure_domain)
      : domain(std::move(failure_domain)),
        address(std::string(kAddressPrefix) + std::to_string(index)),
        hash(StableHash(address)) {
    this->peers.self_address = this->address;
    this->peers.self_domain = this->domain;
  }

  static std::size_t IndexOf(const std::string& address) {
    return std::stoul(address.substr(kAddressPrefix.size()));
  }

  PeerDigest MakeDigest(TimePoint now) {
    PeerDigest digest;
    digest.instance = this->address;
    digest.incarnation = 1;
    digest.sequence = ++this->digests;
    digest.address = this->address;
    digest.failure_domain = this->domain;
    digest.loads = OwnLoads(this->table);
    digest.reports = OwnReports(this->table, now);
    return digest;
  }

  std::string domain;
  std::string address;
  std::uint64_t hash = 0;
  std::uint64_t digests = 0;
  UpstreamTable table;
  PeerTable peers;
};

inline constexpr Duration kNewsInterval = std::chrono::milliseconds(200);

// For two seconds, each instance sends what `take` returns to four random ones, which `merge` it.
template <typename Take, typename Merge>
void SpreadNews(std::vector<UpstreamTable>& fleet,
                std::mt19937_64& random,
                TimePoint& now,
                Take take,
                Merge merge) {
  constexpr std::size_t kTargets = 4;
  std::uniform_int_distribution<std::size_t> pick(0, fleet.size() - 1);
  for (const TimePoint end = now + std::chrono::seconds(2); now < end; now += kNewsInterval) {
    for (UpstreamTable& instance : fleet) {
      const auto news = take(instance, now);
      for (std::size_t target = 0; target < kTargets && !news.empty(); ++target) {
        merge(fleet[pick(random)], news, now);
      }
    }
  }
}

}  // namespace geraniumspread::dispatch::test

#endif  // DISPATCH_TESTS_SIMULATED_INSTANCE_H_
