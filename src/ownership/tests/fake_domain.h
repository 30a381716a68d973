#ifndef OWNERSHIP_TESTS_FAKE_DOMAIN_H_
#define OWNERSHIP_TESTS_FAKE_DOMAIN_H_

#include <functional>
#include <random>
#include <vector>

#include "ownership/ownership.h"

namespace geraniumspread::ownership {

inline constexpr std::size_t kNoRouter = static_cast<std::size_t>(-1);

// A request that runs at the upstream of the fake domain.
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

// Scheduled delivery of a message or a load report.
struct Delivery {
  TimePoint at;
  std::size_t from = 0;
  std::size_t to = 0;
  std::function<void()> run;
};

// Simulates the routers of one failure domain with an in-memory message queue, and one
// upstream at which every router starts as many requests as it is allowed to.
struct FakeDomain {
  FakeDomain(std::size_t routers,
             std::int32_t limit_of_upstream,
             const OwnershipPolicy& policy_of_all,
             std::uint64_t seed);

  // Advances time by `span` in small steps.
  void Run(Duration span);
  void Restart(std::size_t router);
  void SetMembersOf(std::size_t router, const std::vector<std::size_t>& members);
  // Sets the member list of every running router at once.
  void SetMembersOfAll(const std::vector<std::size_t>& members);
  // Returns the router that holds the lease, or kNoRouter.
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
  // Faults: fractions of messages that are lost, and that are delayed by up to two terms.
  double loss = 0.0;
  double long_delay = 0.0;
  Duration request_time = std::chrono::milliseconds(1500);
  Duration report_delay = std::chrono::milliseconds(40);
  // Maximum number of requests that ran at the same time, and requests started so far.
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
