#include <algorithm>

#include "outcomes/tickets.h"

namespace geraniumspread::outcomes {
namespace {

// Maximum number of successors followed from one issuer within a ticket lifetime.
constexpr int kMaxSuccessorHops = 16;
// Maximum number of handovers that one process accepts or refuses. They are never removed; at one
// or two a day per router, this limit is not reached in practice.
constexpr std::size_t kMaxHandovers = 1'024;

OutcomeError NotSuccessor() {
  return MakeOutcomeError(OutcomeCode::kTicketsHandedOver, RunState::kNotRun, false, Duration{0});
}

std::optional<TimePoint> StartOf(const TicketTable& table, const RouterIncarnation& incarnation) {
  const auto found = std::ranges::find(table.served, incarnation, &ServedIncarnation::incarnation);
  return found != table.served.end() ? std::optional(found->started_at) : std::nullopt;
}

ExportedTicket Export(const std::string& random, const TicketEntry& entry, TimePoint issuer_start) {
  const bool running = entry.state == TicketState::kRunning;
  return {
      .random = random,
      .issuer = entry.issuer,
      .state = running ? TicketState::kUnknown : entry.state,
      .call_digest = entry.call_digest,
      .expires_at = std::chrono::ceil<std::chrono::milliseconds>(entry.expires_at - issuer_start),
      .response_kept = entry.response_kept,
      .response = entry.response};
}

std::size_t BytesOf(const ExportedTicket& ticket) {
  return ticket.response.body.size() + ticket.response.content_type.size();
}

bool Fits(const TicketTable& table, const TicketHandover& handover) {
  std::size_t entries = table.entries.size();
  std::size_t bytes = table.reserved_bytes;
  for (const ExportedTicket& ticket : handover.tickets) {
    entries += table.entries.contains(ticket.random) ? 0 : 1;
    bytes += BytesOf(ticket);
  }
  const std::size_t handovers = table.served.size() + table.refused_handovers.size();
  return entries <= table.policy.max_entries && bytes <= table.policy.max_total_bytes &&
         handovers + handover.incarnations.size() <= kMaxHandovers;
}

void ImportIncarnation(TicketTable& table, const ExportedIncarnation& exported, TimePoint now) {
  if (!StartOf(table, exported.incarnation)) {
    table.served.push_back({.incarnation = exported.incarnation, .started_at = now - exported.age});
  }
}

void ImportTicket(TicketTable& table, const ExportedTicket& exported, TimePoint now) {
  const auto issuer_start = StartOf(table, exported.issuer);
  if (!issuer_start || *issuer_start + exported.expires_at <= now) {
    return;
  }
  if (const auto found = table.entries.find(exported.random);
      found != table.entries.end() &&
      (found->second.state != TicketState::kUnknown || exported.state != TicketState::kFinished)) {
    return;
  }
  TicketEntry& entry = table.entries[exported.random];
  table.reserved_bytes += BytesOf(exported) - entry.reserved_bytes;
  entry = {.state = exported.state,
           .call_digest = exported.call_digest,
           .expires_at = *issuer_start + exported.expires_at,
           .issuer = exported.issuer,
           .dispatched = true,
           .response_kept = exported.response_kept,
           .reserved_bytes = BytesOf(exported),
           .response = exported.response};
  table.earliest_expiry = std::min(table.earliest_expiry, entry.expires_at);
}

void RecordRefusal(TicketTable& table, const RouterIncarnation& from) {
  // At the limit, every further handover is refused anyway.
  if (table.refused_handovers.size() < kMaxHandovers) {
    table.refused_handovers.push_back(from);
  }
}

}  // namespace

OutcomeResult<TicketHandover> ExportTickets(TicketTable& table,
                                            const RouterIncarnation& successor,
                                            TimePoint now) {
  if (table.successor && *table.successor != successor) {
    return NotSuccessor();
  }
  table.successor = successor;
  TicketHandover handover{.from = table.self, .to = successor, .incarnations = {}, .tickets = {}};
  for (const ServedIncarnation& served : table.served) {
    handover.incarnations.push_back(
        {.incarnation = served.incarnation, .age = now - served.started_at});
  }
  for (const auto& [random, entry] : table.entries) {
    const bool never_sent = entry.state == TicketState::kRunning && !entry.dispatched;
    const auto issuer_start = StartOf(table, entry.issuer);
    if (entry.expires_at > now && !never_sent && issuer_start) {
      handover.tickets.push_back(Export(random, entry, *issuer_start));
    }
  }
  return handover;
}

void ClearSuccessor(TicketTable& table) {
  table.successor.reset();
}

OutcomeResult<void> ImportTickets(TicketTable& table,
                                  const TicketHandover& handover,
                                  TimePoint now) {
  const bool refused_before =
      std::ranges::find(table.refused_handovers, handover.from) != table.refused_handovers.end();
  if (handover.to != table.self || table.successor || refused_before) {
    if (!refused_before) {
      RecordRefusal(table, handover.from);
    }
    return NotSuccessor();
  }
  if (!Fits(table, handover)) {
    RecordRefusal(table, handover.from);
    return MakeOutcomeError(OutcomeCode::kTicketTableFull);
  }
  for (const ExportedIncarnation& incarnation : handover.incarnations) {
    ImportIncarnation(table, incarnation, now);
  }
  for (const ExportedTicket& ticket : handover.tickets) {
    ImportTicket(table, ticket, now);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool RecordSuccessor(SuccessorTable& table,
                     const RouterIncarnation& stopped,
                     const RouterIncarnation& successor,
                     TimePoint expires_at) {
  const bool known =
      std::ranges::find(table.entries, stopped, &SuccessorEntry::stopped) != table.entries.end();
  if (known || stopped == successor || table.entries.size() >= table.max_entries) {
    return false;
  }
  table.entries.push_back({.stopped = stopped, .successor = successor, .expires_at = expires_at});
  return true;
}

void RemoveExpiredSuccessors(SuccessorTable& table, TimePoint now) {
  std::erase_if(table.entries,
                [&](const SuccessorEntry& entry) { return entry.expires_at <= now; });
}

RouterIncarnation ResponsibleFor(const SuccessorTable& table, const RouterIncarnation& issuer) {
  RouterIncarnation responsible = issuer;
  for (int hop = 0; hop < kMaxSuccessorHops; ++hop) {
    const auto found = std::ranges::find(table.entries, responsible, &SuccessorEntry::stopped);
    if (found == table.entries.end()) {
      break;
    }
    responsible = found->successor;
  }
  return responsible;
}

TicketRoute RouteTicket(const TicketTable& table,
                        const RouterIncarnation& responsible,
                        const RouterMembership& known) {
  const bool served = std::ranges::any_of(
      table.served, [&](const ServedIncarnation& item) { return item.incarnation == responsible; });
  if (served) {
    return TicketRoute::kLocal;
  }
  if (known.known && (known.left || known.incarnation > responsible.incarnation)) {
    return TicketRoute::kGone;
  }
  return known.known && known.incarnation == responsible.incarnation ? TicketRoute::kForward
                                                                     : TicketRoute::kUnreachable;
}

}  // namespace geraniumspread::outcomes
