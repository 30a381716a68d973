#include "ownership/tests/fake_domain.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace geraniumspread::ownership {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kReportPeriod = milliseconds(250);

RouterKey KeyOf(std::size_t router) {
  return MakeRouterKey("router-" + std::to_string(router));
}

}  // namespace

FakeDomain::FakeDomain(std::size_t router_count,
                       std::int32_t limit_of_upstream,
                       const OwnershipPolicy& policy_of_all,
                       std::uint64_t seed)
    : policy(policy_of_all), limit(limit_of_upstream), random(seed) {
  this->routers.resize(router_count);
  std::vector<std::size_t> members(router_count);
  std::iota(members.begin(), members.end(), 0U);
  for (const std::size_t router : members) {
    this->Restart(router);
  }
  this->SetMembersOfAll(members);
}

void FakeDomain::Restart(std::size_t router) {
  FakeRouter& restarted = this->routers[router];
  const std::uint64_t incarnation = restarted.state.incarnation + 1;
  restarted.state = MakeOwnershipState(this->settings, KeyOf(router), incarnation, this->now);
  restarted.state.policy = this->policy;
  restarted.alive = true;
  restarted.paused_until = TimePoint::min();
  const DomainUpstream upstream_of_domain{.upstream = this->upstream};
  SetUpstreams(restarted.state, std::span(&upstream_of_domain, 1), this->now);
}

void FakeDomain::SetMembersOf(std::size_t router, const std::vector<std::size_t>& members) {
  std::vector<RouterKey> keys;
  std::vector<RouterKey> candidates;
  for (const std::size_t member : members) {
    keys.push_back(KeyOf(member));
    const bool reachable =
        this->Runs(member) && this->routers[member].group == this->routers[router].group;
    if (reachable || member == router) {
      candidates.push_back(KeyOf(member));
    }
  }
  SetMembers(this->routers[router].state, keys, candidates, this->now);
}

void FakeDomain::SetMembersOfAll(const std::vector<std::size_t>& members) {
  for (std::size_t router = 0; router < this->routers.size(); ++router) {
    if (this->Runs(router)) {
      this->SetMembersOf(router, members);
    }
  }
}

std::size_t FakeDomain::Holder() const {
  for (std::size_t router = 0; router < this->routers.size(); ++router) {
    const bool holds = this->routers[router].alive &&
                       HoldsLease(this->routers[router].state, this->upstream, this->now);
    if (holds) {
      return router;
    }
  }
  return kNoRouter;
}

Allowance FakeDomain::AllowedAt(std::size_t router) const {
  return AllowedInFlight(this->routers[router].state, this->upstream, this->limit, this->now);
}

std::int32_t FakeDomain::Running() const {
  return static_cast<std::int32_t>(std::count_if(
      this->running.begin(), this->running.end(),
      [this](const RunningRequest& request) { return request.arrives <= this->now; }));
}

bool FakeDomain::Runs(std::size_t router) const {
  return this->routers[router].alive && this->routers[router].paused_until <= this->now;
}

std::size_t FakeDomain::IndexOf(RouterKey key) const {
  std::size_t index = 0;
  while (this->routers[index].state.self != key) {
    ++index;
  }
  return index;
}

void FakeDomain::Run(Duration span) {
  for (const TimePoint end = this->now + span; this->now < end;) {
    this->Step();
  }
}

void FakeDomain::Step() {
  this->now += kStep;
  this->EndRequests();
  this->Deliver();
  for (std::size_t router = 0; router < this->routers.size(); ++router) {
    if (this->Runs(router)) {
      this->StepRouter(router);
    }
  }
  this->peak = std::max(this->peak, this->Running());
}

void FakeDomain::StepRouter(std::size_t router) {
  OwnershipOutbox outbox;
  TickOwnership(this->routers[router].state, this->now, outbox);
  this->Send(router, outbox);
  this->Poll(router);
  this->Dispatch(router);
}

void FakeDomain::Send(std::size_t from, OwnershipOutbox& outbox) {
  const RouterKey sender = this->routers[from].state.self;
  for (const OutgoingRequest& request : outbox.requests) {
    const std::size_t to = this->IndexOf(request.to);
    this->Post(from, to, [this, from, to, sender, message = request.message] {
      const auto reply = HandleLeaseRequest(this->routers[to].state, sender, message, this->now);
      if (reply) {
        const RouterKey voter = this->routers[to].state.self;
        this->Post(to, from, [this, from, voter, answer = *reply] {
          HandleLeaseReply(this->routers[from].state, voter, answer, this->now);
        });
      }
    });
  }
  for (const OutgoingRelease& release : outbox.releases) {
    const std::size_t to = this->IndexOf(release.to);
    this->Post(from, to, [this, to, sender, message = release.message] {
      HandleLeaseRelease(this->routers[to].state, sender, message, this->now);
    });
  }
}

void FakeDomain::Post(std::size_t from, std::size_t to, std::function<void()> run) {
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  std::uniform_int_distribution<int> short_delay(1, 40);
  std::uniform_int_distribution<int> slow(40, 6000);
  if (chance(this->random) < this->loss) {
    return;
  }
  const bool delayed = chance(this->random) < this->long_delay;
  const auto delay = milliseconds(delayed ? slow(this->random) : short_delay(this->random));
  this->queue.push_back({this->now + delay, from, to, std::move(run)});
}

void FakeDomain::Deliver() {
  std::vector<Delivery> due;
  std::erase_if(this->queue, [this, &due](const Delivery& delivery) {
    const bool cut = this->routers[delivery.from].group != this->routers[delivery.to].group ||
                     !this->routers[delivery.to].alive;
    // A paused receiver gets its messages when it resumes.
    const bool ready = delivery.at <= this->now && this->Runs(delivery.to);
    if (ready && !cut) {
      due.push_back(delivery);
    }
    return cut || ready;
  });
  for (const Delivery& delivery : due) {
    delivery.run();
  }
}

void FakeDomain::Poll(std::size_t router) {
  FakeRouter& polling = this->routers[router];
  if (polling.next_report > this->now) {
    return;
  }
  polling.next_report = this->now + kReportPeriod;
  RecordReportRequest(polling.state, this->upstream);
  const TimePoint requested_at = this->now;
  const std::uint64_t incarnation = polling.state.incarnation;
  const std::int32_t seen = this->Running();
  this->queue.push_back({this->now + this->report_delay, router, router,
                         [this, router, requested_at, incarnation, seen] {
                           OwnershipState& state = this->routers[router].state;
                           if (state.incarnation == incarnation) {
                             RecordLoadReport(state, this->upstream, requested_at, seen, this->now);
                           }
                         }});
}

void FakeDomain::Dispatch(std::size_t router) {
  FakeRouter& dispatching = this->routers[router];
  if (!dispatching.dispatches) {
    return;
  }
  std::uniform_int_distribution<int> transit(1, 100);
  while (InFlight(dispatching.state, this->upstream) < this->AllowedAt(router).limit) {
    const TimePoint arrives = this->now + milliseconds(transit(this->random));
    std::uniform_int_distribution<Duration::rep> length(1, this->request_time.count());
    this->running.push_back({router, dispatching.state.incarnation,
                             RecordDispatch(dispatching.state, this->upstream, this->now), arrives,
                             arrives + Duration(length(this->random))});
    ++this->started;
  }
}

void FakeDomain::EndRequests() {
  std::erase_if(this->running, [this](const RunningRequest& request) {
    if (request.ends > this->now) {
      return false;
    }
    FakeRouter& router = this->routers[request.router];
    const bool known = router.alive && router.state.incarnation == request.incarnation;
    if (known) {
      RecordCompletion(router.state, request.token);
    }
    return true;
  });
}

}  // namespace geraniumspread::ownership
