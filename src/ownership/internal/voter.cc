#include <algorithm>

#include "ownership/internal/views.h"
#include "ownership/ownership.h"

namespace geraniumspread::ownership {
namespace {

using detail::MajorityOf;

VoterRecord* FindRecord(VoterState& voter, RouterKey router) {
  const auto found =
      std::find_if(voter.records.begin(), voter.records.end(),
                   [router](const VoterRecord& record) { return record.router == router; });
  return found == voter.records.end() ? nullptr : &*found;
}

// Returns the router's record, which is added or reset for a new incarnation. Returns
// nullptr for a message of an earlier incarnation: a delayed request must not restore a
// promise that the router has released since.
VoterRecord* OpenRecord(VoterState& voter, RouterKey router, std::uint64_t incarnation) {
  VoterRecord* record = FindRecord(voter, router);
  if (record == nullptr) {
    record = &voter.records.emplace_back();
    record->router = router;
    record->incarnation = incarnation;
  }
  if (incarnation < record->incarnation) {
    return nullptr;
  }
  if (incarnation > record->incarnation) {
    *record = VoterRecord{};
    record->router = router;
    record->incarnation = incarnation;
  }
  return record;
}

// Returns the smallest divisor that the sender may use until its next request arrives:
// its current one, or its member count once a majority answers this request.
std::uint32_t SmallestDivisor(const LeaseRequest& request) {
  return request.reserve_divisor == 0 ? request.member_count
                                      : std::min(request.reserve_divisor, request.member_count);
}

void UpdateRecord(VoterRecord& record, const LeaseRequest& request, TimePoint now) {
  for (const SentReply& reply : record.replies) {
    if (request.acknowledged != 0 && reply.number == request.acknowledged) {
      record.acknowledged_at = reply.sent;
    }
  }
  record.last_number = request.number;
  record.replies[1] = record.replies[0];
  record.replies[0] = {request.number, now};
  record.last_message_at = now;
  record.reserve_divisor = SmallestDivisor(request);
  record.member_count = request.member_count;
  record.reserve_in_use = request.reserve_in_use;
}

// If another router counts more members, uses that count at once for this router's own
// reserve too: the smaller reserve keeps the sum of all reserves within the limit.
void RaiseOwnDivisor(OwnerState& owner, std::uint32_t member_count) {
  if (owner.reserve_divisor != 0) {
    owner.reserve_divisor = std::max(owner.reserve_divisor, member_count);
  }
  for (Round& round : owner.rounds) {
    round.member_count = std::max(round.member_count, member_count);
  }
}

bool InRestartDelay(const OwnershipState& state, TimePoint now) {
  return state.policy.restart_delay && now < state.started_at + state.settings.lease_term;
}

// Returns the lists that the sender must include in its requests before this voter
// promises anything.
std::vector<std::vector<RouterKey>> MissingViews(const OwnershipState& state,
                                                 const LeaseRequest& request) {
  std::vector<std::vector<RouterKey>> missing;
  if (!state.policy.joint_views) {
    return missing;
  }
  for (const MemberView& view : state.views) {
    const bool sought =
        std::find(request.views.begin(), request.views.end(), view.digest) != request.views.end();
    if (!view.reported_by_voter && !sought) {
      missing.push_back(view.members);
    }
  }
  return missing;
}

bool Grant(OwnershipState& state,
           RouterKey from,
           const LeaseRequest& request,
           UpstreamKey upstream,
           TimePoint now) {
  const auto [entry, added] = state.voter.promises.try_emplace(upstream);
  Promise& promise = entry->second;
  const bool same_holder = promise.holder == from && promise.incarnation == request.incarnation;
  const bool taken = !added && !same_holder && now < promise.until;
  if (taken && state.policy.exclusive_promises) {
    return false;
  }
  promise = {from, request.incarnation, request.number, now + state.settings.lease_term};
  return true;
}

bool IsKnownNotToUseReserve(const OwnershipState& state,
                            const VoterRecord& record,
                            const LeaseRequest& request,
                            TimePoint now) {
  if (record.shut_down) {
    return true;
  }
  // This router's own record dates from its last round; its current state is exact.
  const bool in_use =
      record.router == state.self ? detail::ReserveInUse(state.owner) : record.reserve_in_use;
  const std::uint32_t panel = state.settings.panel_size;
  // With more voters, the majority of that router is larger than the one that the
  // requesting owner counts.
  const bool needs_more = MajorityOf(std::min(panel, record.member_count)) >
                          MajorityOf(std::min(panel, request.member_count));
  return !in_use && !needs_more &&
         record.acknowledged_at + detail::ReserveDelay(state.settings) > now;
}

void ReportRecord(const OwnershipState& state,
                  const VoterRecord& record,
                  const LeaseRequest& request,
                  TimePoint now,
                  LeaseReply& reply) {
  if (IsKnownNotToUseReserve(state, record, request, now)) {
    if (!record.shut_down) {
      const TimePoint until = record.acknowledged_at + detail::ReserveDelay(state.settings);
      reply.no_reserve_for = std::min(reply.no_reserve_for, until - now);
    }
    return;
  }
  const bool may_use_reserve = now < record.last_message_at + state.settings.reserve_hold;
  reply.reserve_users.push_back({record.router, may_use_reserve ? record.reserve_divisor : 0});
}

// Reports to the requesting owner which routers may use a reserve.
void ReportReserves(OwnershipState& state,
                    RouterKey from,
                    const LeaseRequest& request,
                    TimePoint now,
                    LeaseReply& reply) {
  reply.no_reserve_for = detail::ReserveDelay(state.settings);
  reply.records_complete = now >= state.started_at + state.settings.reserve_hold;
  for (const VoterRecord& record : state.voter.records) {
    if (record.router != from) {
      ReportRecord(state, record, request, now, reply);
    }
  }
  if (state.views.empty()) {
    return;
  }
  reply.view = state.views.front().digest;
  for (const RouterKey member : state.views.front().members) {
    if (member != from && FindRecord(state.voter, member) == nullptr) {
      reply.reserve_users.push_back({member, 0});
    }
  }
}

// Drops the records of routers that are no longer members and may no longer use a reserve.
void DropOldRecords(OwnershipState& state, TimePoint now) {
  std::erase_if(state.voter.records, [&state, now](const VoterRecord& record) {
    const bool member =
        !state.views.empty() && detail::Contains(state.views.front().members, record.router);
    return !member && now >= record.last_message_at + state.settings.reserve_hold;
  });
}

}  // namespace

std::optional<LeaseReply> HandleLeaseRequest(OwnershipState& state,
                                             RouterKey from,
                                             const LeaseRequest& request,
                                             TimePoint now) {
  detail::PruneViews(state, now);
  DropOldRecords(state, now);
  VoterRecord* record = OpenRecord(state.voter, from, request.incarnation);
  if (record == nullptr || request.number <= record->last_number) {
    return std::nullopt;
  }
  UpdateRecord(*record, request, now);
  RaiseOwnDivisor(state.owner, request.member_count);
  LeaseReply reply;
  reply.incarnation = request.incarnation;
  reply.number = request.number;
  reply.missing_views = MissingViews(state, request);
  const bool promises = !InRestartDelay(state, now) && !state.views.empty() &&
                        state.views.size() <= detail::kMaxViews && reply.missing_views.empty();
  for (const UpstreamKey upstream : request.upstreams) {
    const bool granted = promises && Grant(state, from, request, upstream, now);
    (granted ? reply.granted : reply.refused).push_back(upstream);
  }
  ReportReserves(state, from, request, now, reply);
  return reply;
}

void HandleLeaseRelease(OwnershipState& state,
                        RouterKey from,
                        const LeaseRelease& release,
                        TimePoint now) {
  VoterRecord* record = OpenRecord(state.voter, from, release.incarnation);
  if (record == nullptr) {
    return;
  }
  record->last_number = std::max(record->last_number, release.number);
  if (release.leaving) {
    record->shut_down = true;
    record->last_message_at = now;
  }
  for (const UpstreamKey upstream : release.upstreams) {
    const auto found = state.voter.promises.find(upstream);
    if (found == state.voter.promises.end()) {
      continue;
    }
    const Promise& promise = found->second;
    const bool by_holder = promise.holder == from && promise.incarnation == release.incarnation &&
                           promise.number <= release.number;
    if (by_holder || !state.policy.release_by_holder_only) {
      state.voter.promises.erase(found);
    }
  }
}

}  // namespace geraniumspread::ownership
