#include <algorithm>
#include <array>
#include <utility>

#include "scenario/internal/fleet_internal.h"

namespace geraniumspread::scenario {
namespace detail {
namespace {

bool IsEnd(std::string_view name, std::string_view id, std::string_view domain) {
  return name == id || (!domain.empty() && name == domain);
}

std::string_view DomainOf(const Fleet& fleet, std::string_view id) {
  for (const RouterNode& node : fleet.routers) {
    if (node.identity.id == id) {
      return node.identity.failure_domain;
    }
  }
  const auto upstream = std::ranges::find(fleet.upstreams, id, &Upstream::id);
  return upstream == fleet.upstreams.end() ? std::string_view() : upstream->domain;
}

// The attempts that end when the process of this router ends.
std::vector<std::uint64_t> AttemptsAt(const Fleet& fleet, std::size_t router) {
  std::vector<std::uint64_t> handles;
  for (const auto& [handle, attempt] : fleet.attempts) {
    if (attempt.owner == router) {
      handles.push_back(handle);
    }
  }
  std::ranges::sort(handles);
  return handles;
}

void EndRuns(Fleet& fleet, const std::string& engine) {
  std::vector<std::uint64_t> handles;
  for (const auto& [handle, attempt] : fleet.attempts) {
    if (attempt.upstream == engine && attempt.running) {
      handles.push_back(handle);
    }
  }
  std::ranges::sort(handles);
  for (const std::uint64_t handle : handles) {
    PostToRouter(fleet, fleet.attempts.at(handle).owner, kHop, [&fleet, handle](RouterNode&) {
      EndAttempt(fleet, handle, AttemptResult::kLost, true);
    });
  }
}

// A new process: nothing of the old one runs on.
void BeginIncarnation(Fleet& fleet, Upstream& upstream) {
  ++upstream.incarnation;
  upstream.sequence = 0;
  upstream.running = 0;
  EndRuns(fleet, upstream.id);
}

}  // namespace

LinkFault LinkOf(const Fleet& fleet, const RouterNode& router, std::string_view other) {
  LinkFault sum;
  const std::string_view domain = DomainOf(fleet, other);
  const std::string& id = router.identity.id;
  const std::string& own_domain = router.identity.failure_domain;
  for (const auto& [ends, fault] : fleet.links) {
    const bool is_between = (IsEnd(ends.from, id, own_domain) && IsEnd(ends.to, other, domain)) ||
                            (IsEnd(ends.to, id, own_domain) && IsEnd(ends.from, other, domain));
    if (is_between) {
      sum.cut = sum.cut || fault.cut;
      sum.delay = std::max(sum.delay, fault.delay);
      sum.drop = std::max(sum.drop, fault.drop);
    }
  }
  return sum;
}

}  // namespace detail

void SetLink(Fleet& fleet, const LinkEnds& ends, const LinkFault& fault) {
  for (const std::string& end : {ends.from, ends.to}) {
    const bool is_domain =
        std::ranges::find(fleet.options.domains, end) != fleet.options.domains.end();
    if (end != detail::kPlatform && !is_domain && detail::DomainOf(fleet, end).empty()) {
      throw ScenarioError("there is no router, engine or failure domain " + end);
    }
  }
  fleet.links.insert_or_assign(ends, fault);
}

void Heal(Fleet& fleet) {
  fleet.links.clear();
}

void Pause(Fleet& fleet, const std::string& router) {
  fleet.routers[detail::FindRouter(fleet, router)].paused = true;
}

void Resume(Fleet& fleet, const std::string& router) {
  RouterNode& node = fleet.routers[detail::FindRouter(fleet, router)];
  node.paused = false;
  const auto held = std::exchange(node.held, {});
  for (const auto& action : held) {
    action();
  }
}

void KillRouter(Fleet& fleet, const std::string& router) {
  const std::size_t index = detail::FindRouter(fleet, router);
  RouterNode& node = fleet.routers[index];
  node.state.reset();
  node.paused = false;
  node.held.clear();
  ++fleet.list_revision;
  detail::LoseRequests(fleet, index);
  for (const std::uint64_t handle : detail::AttemptsAt(fleet, index)) {
    detail::LoseAttempt(fleet, handle);
  }
}

void StartRouter(Fleet& fleet, const std::string& router) {
  const std::size_t index = detail::FindRouter(fleet, router);
  RouterNode& node = fleet.routers[index];
  if (node.state) {
    throw ScenarioError(router + " runs already");
  }
  ++node.identity.incarnation;
  ++fleet.list_revision;
  detail::StartProcess(fleet, index);
}

void HideInstance(Fleet& fleet, const std::string& router, const std::string& instance) {
  if (detail::DomainOf(fleet, instance).empty()) {
    throw ScenarioError("there is no instance " + instance);
  }
  fleet.routers[detail::FindRouter(fleet, router)].hidden.insert(instance);
}

void ShowAllInstances(Fleet& fleet) {
  for (RouterNode& node : fleet.routers) {
    node.hidden.clear();
  }
}

void LeaveEngine(Fleet& fleet, const std::string& engine) {
  Upstream& upstream = detail::FindUpstream(fleet, engine);
  upstream.leaving = true;
  upstream.left_at = fleet.now;
  ++fleet.list_revision;
}

void ReturnEngine(Fleet& fleet, const std::string& engine) {
  Upstream& upstream = detail::FindUpstream(fleet, engine);
  upstream.leaving = false;
  upstream.left_at = TimePoint::max();
  detail::BeginIncarnation(fleet, upstream);
  ++fleet.list_revision;
  detail::TurnCold(fleet, upstream);
}

void CrashEngine(Fleet& fleet, const std::string& engine, Duration down_for) {
  Upstream& upstream = detail::FindUpstream(fleet, engine);
  upstream.up = false;
  detail::BeginIncarnation(fleet, upstream);
  detail::PostEvent(fleet, down_for, [&fleet, &upstream, incarnation = upstream.incarnation] {
    if (upstream.incarnation == incarnation) {
      upstream.up = true;
      ++fleet.list_revision;
      detail::TurnCold(fleet, upstream);
    }
  });
}

void ColdEngine(Fleet& fleet, const std::string& engine) {
  detail::TurnCold(fleet, detail::FindUpstream(fleet, engine));
}

}  // namespace geraniumspread::scenario
