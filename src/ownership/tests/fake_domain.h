#ifndef OWNERSHIP_TESTS_FAKE_DOMAIN_H_
#define OWNERSHIP_TESTS_FAKE_DOMAIN_H_

#include <functional>
#include <random>
#include <vector>

#include "ownership/ownership.h"

namespace geraniumspread::ownership {

inline constexpr std::size_t kNoRouter = static_cast<std::size_t>(-1);

// Requests that really run at the one upstream of the fake domain.
struct RunningRequest {
  std::size_t router = 0;
  std::uint64_t incarnation = 0;
  DispatchToken token;
  TimePoint arrives;
  TimePoint ends;
};

struct FakeRouter {
  OwnershipState state;
  bool alive = true;
  TimePoint paused_until = TimePoint::min();
  int group = 0;  // routers of different groups can't reach each other
  TimePoint next_report = TimePoint::min();
  bool dispatches = true;
};

// Delivery of one message or of a load report.
struct Delivery {
  TimePoint at;
  std::size_t from = 0;
  std::size_t to = 0;
  std::function<void()> run;
};

// Routers of one failure domain with an in-memory message queue, and one
// upstream on which every router starts as many requests as it may.
struct FakeDomain {
  FakeDomain(std::size_t routers,
             std::int32_t limit_of_upstream,
             const OwnershipPolicy& policy_of_all,
             std::uint64_t seed);

  // Advances time by `span` in small steps.
  void Run(Duration span);
  void Restart(std::size_t router);
  void SetMembersOf(std::size_t router, const std::vector<std::size_t>& members);
  // Every router learns the member list at once.
  void SetMembersOfAll(const std::vector<std::size_t>& members);
  // The router that holds the lease, or kNobody.
  std::size_t Holder() const;
  Allowance AllowedAt(std::size_t router) const;
  std::int32_t Running() const;

  OwnershipSettings settings;
  OwnershipPolicy policy;
  std::int32_t limit = 0;
  TimePoint now = TimePoint{} + std::chrono::seconds(1000);
  std::vector<FakeRouter> routers;
  std::vector<RunningRequest> running;
  std::vector<Delivery> queue;
  std::mt19937_64 random;
  UpstreamKey upstream = MakeUpstreamKey("runner");
  // Faults: share of lost messages, and of messages delayed by up to two terms.
  double loss = 0.0;
  double long_delay = 0.0;
  Duration request_time = std::chrono::milliseconds(1500);
  Duration report_delay = std::chrono::milliseconds(40);
  // Most requests that ran at the same time, and requests started so far.
  std::int32_t peak = 0;
  std::int64_t started = 0;

 private:
  void Step();
  void StepRouter(std::size_t router);
  void Deliver();
  void Send(std::size_t from, OwnershipOutbox& outbox);
  void Post(std::size_t from, std::size_t to, std::function<void()> run);
  void Poll(std::size_t router);
  void Dispatch(std::size_t router);
  void EndRequests();
  bool Runs(std::size_t router) const;
  std::size_t IndexOf(RouterKey key) const;
};

}  // namespace geraniumspread::ownership

#endif  // OWNERSHIP_TESTS_FAKE_DOMAIN_H_
