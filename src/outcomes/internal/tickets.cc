#include "outcomes/tickets.h"

#include <algorithm>
#include <charconv>

#include "common/secure_bytes.h"

namespace geraniumspread::outcomes {
namespace {

constexpr std::string_view kPrefix = "t1:";
constexpr std::size_t kMaxRouterLength = 128;
constexpr Duration kMinFullRetryAfter = std::chrono::seconds(1);

bool IsLowerHex(std::string_view text) {
  return std::ranges::all_of(
      text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool IsVisible(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c < '\x7f'; });
}

// Decimal without sign or leading zeros, so that a ticket has one text form.
std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() ||
      (text.size() > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  return value;
}

// Cuts the last field off `text`. Router ids may contain the separator, so fields are read from the
// end.
std::optional<std::string_view> CutLastField(std::string_view& text) {
  const std::size_t separator = text.rfind(':');
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view field = text.substr(separator + 1);
  text = text.substr(0, separator);
  return field;
}

std::string MacOf(std::string_view shared_key, std::string_view signed_text) {
  return HmacSha256Hex(shared_key, signed_text).substr(0, kTicketMacLength);
}

OutcomeError Malformed() {
  return MakeOutcomeError(OutcomeCode::kTicketMalformed);
}

// The fields before the MAC, whose MAC has been verified.
OutcomeResult<Ticket> ParseFields(std::string_view text) {
  const auto expiry_text = CutLastField(text);
  const auto random = CutLastField(text);
  const auto incarnation_text = CutLastField(text);
  if (!expiry_text || !random || !incarnation_text || !text.starts_with(kPrefix)) {
    return Malformed();
  }
  const std::string_view router = text.substr(kPrefix.size());
  const auto expiry = ParseDecimal(*expiry_text);
  const auto incarnation = ParseDecimal(*incarnation_text);
  if (!expiry || *expiry > static_cast<std::uint64_t>(kMaxTicketExpiry.count()) || !incarnation ||
      router.empty() || router.size() > kMaxRouterLength || random->size() != kTicketRandomLength ||
      !IsLowerHex(*random)) {
    return Malformed();
  }
  return Ticket{.issuer = {.router = std::string(router), .incarnation = *incarnation},
                .random = std::string(*random),
                .expires_at = std::chrono::milliseconds(static_cast<std::int64_t>(*expiry))};
}

const ServedIncarnation* FindServed(const TicketTable& table, const RouterIncarnation& issuer) {
  const auto found = std::ranges::find(table.served, issuer, &ServedIncarnation::incarnation);
  return found != table.served.end() ? &*found : nullptr;
}

OutcomeResult<TicketDecision> DecideUsed(const TicketTable& table,
                                         const TicketEntry& entry,
                                         std::string_view call_digest) {
  if (entry.call_digest != call_digest) {
    return MakeOutcomeError(OutcomeCode::kTicketBodyMismatch);
  }
  switch (entry.state) {
    case TicketState::kRunning:
      return MakeOutcomeError(OutcomeCode::kInProgress, table.policy.in_progress_retry_after);
    case TicketState::kUnknown:
      return MakeOutcomeError(OutcomeCode::kOutcomeUnknown);
    case TicketState::kFinished:
      break;
  }
  if (!entry.response_kept) {
    return MakeOutcomeError(OutcomeCode::kResultNotKept);
  }
  return TicketDecision{.action = TicketAction::kReplay, .response = &entry.response};
}

bool HasRoom(const TicketTable& table) {
  return table.entries.size() < table.policy.max_entries &&
         table.reserved_bytes + table.policy.max_response_bytes <= table.policy.max_total_bytes;
}

OutcomeError TableFull(const TicketTable& table, TimePoint now) {
  Duration wait = table.policy.lifetime;
  if (table.earliest_expiry != TimePoint::max()) {
    wait = std::min(wait, table.earliest_expiry - now);
  }
  return MakeOutcomeError(OutcomeCode::kTicketTableFull, std::max(kMinFullRetryAfter, wait));
}

void SetReservation(TicketTable& table, TicketEntry& entry, std::size_t bytes) {
  table.reserved_bytes += bytes - entry.reserved_bytes;
  entry.reserved_bytes = bytes;
}

void EraseEntry(TicketTable& table, const std::string& random) {
  if (const auto found = table.entries.find(random); found != table.entries.end()) {
    table.reserved_bytes -= found->second.reserved_bytes;
    table.entries.erase(found);
  }
}

TicketEntry* FindRunning(TicketTable& table, const Ticket& ticket) {
  const auto found = table.entries.find(ticket.random);
  const bool running = found != table.entries.end() && found->second.state == TicketState::kRunning;
  return running ? &found->second : nullptr;
}

}  // namespace

TicketTable MakeTicketTable(const TicketPolicy& policy,
                            const RouterIncarnation& self,
                            std::string shared_key,
                            TimePoint started_at) {
  TicketTable table;
  table.policy = policy;
  table.shared_key = std::move(shared_key);
  table.self = self;
  table.served.push_back({.incarnation = self, .started_at = started_at});
  return table;
}

OutcomeResult<std::string> IssueTicket(const TicketTable& table,
                                       std::string_view random,
                                       TimePoint now) {
  if (table.successor) {
    return MakeOutcomeError(OutcomeCode::kTicketsHandedOver);
  }
  if (random.size() != kTicketRandomLength || !IsLowerHex(random) ||
      !IsVisible(table.self.router)) {
    return Malformed();
  }
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - table.served.front().started_at);
  std::string text(kPrefix);
  text += table.self.router + ":" + std::to_string(table.self.incarnation) + ":";
  text += random;
  text += ":" + std::to_string((age + table.policy.lifetime).count());
  return text + ":" + MacOf(table.shared_key, text);
}

OutcomeResult<Ticket> ParseTicket(std::string_view text, std::string_view shared_key) {
  if (text.size() > kMaxTicketLength || !IsVisible(text)) {
    return Malformed();
  }
  const auto mac = CutLastField(text);
  if (!mac || !ConstantTimeEquals(*mac, MacOf(shared_key, text))) {
    return Malformed();
  }
  return ParseFields(text);
}

std::string CallDigest(std::string_view workspace, std::string_view target, std::string_view body) {
  // The length prefixes prevent ambiguous concatenations.
  std::string call = std::to_string(workspace.size()) + ":" + std::to_string(target.size()) + ":";
  call.reserve(call.size() + workspace.size() + target.size() + body.size());
  call += workspace;
  call += target;
  call += body;
  return Sha256Hex(call);
}

OutcomeResult<TicketDecision> BeginTicket(TicketTable& table,
                                          const Ticket& ticket,
                                          std::string_view call_digest,
                                          TimePoint now) {
  if (table.successor) {
    return MakeOutcomeError(OutcomeCode::kTicketsHandedOver);
  }
  const ServedIncarnation* served = FindServed(table, ticket.issuer);
  if (served == nullptr) {
    return MakeOutcomeError(OutcomeCode::kOutcomeUnknown);
  }
  const TimePoint expires_at = served->started_at + ticket.expires_at;
  if (now >= expires_at) {
    return MakeOutcomeError(OutcomeCode::kTicketExpired);
  }
  if (const auto found = table.entries.find(ticket.random);
      found != table.entries.end() && table.policy.check_state) {
    return DecideUsed(table, found->second, call_digest);
  }
  if (!HasRoom(table)) {
    return TableFull(table, now);
  }
  TicketEntry& entry = table.entries[ticket.random];
  entry.state = TicketState::kRunning;
  entry.call_digest = call_digest;
  entry.expires_at = expires_at;
  entry.issuer = ticket.issuer;
  SetReservation(table, entry, table.policy.max_response_bytes);
  table.earliest_expiry = std::min(table.earliest_expiry, expires_at);
  return TicketDecision{.action = TicketAction::kRun};
}

OutcomeResult<void> MarkTicketDispatched(TicketTable& table, const Ticket& ticket, TimePoint now) {
  if (table.successor) {
    return MakeOutcomeError(OutcomeCode::kTicketsHandedOver);
  }
  TicketEntry* entry = FindRunning(table, ticket);
  const bool expired = entry == nullptr || now >= entry->expires_at;
  if (expired && table.policy.check_expiry_at_dispatch) {
    return MakeOutcomeError(OutcomeCode::kTicketExpired, RunState::kNotRun, false, Duration{0});
  }
  if (entry != nullptr) {
    entry->dispatched = true;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ReleaseTicket(TicketTable& table, const Ticket& ticket, bool proven_not_run) {
  TicketEntry* entry = FindRunning(table, ticket);
  if (entry == nullptr) {
    return;
  }
  if (entry->dispatched && !proven_not_run) {
    AbandonTicket(table, ticket);
    return;
  }
  EraseEntry(table, ticket.random);
}

void FinishTicket(TicketTable& table, const Ticket& ticket, StoredResponse response) {
  TicketEntry* entry = FindRunning(table, ticket);
  if (entry == nullptr) {
    return;
  }
  const std::size_t bytes = response.body.size() + response.content_type.size();
  entry->state = TicketState::kFinished;
  entry->response_kept = bytes <= table.policy.max_response_bytes;
  if (!entry->response_kept) {
    SetReservation(table, *entry, 0);
    return;
  }
  SetReservation(table, *entry, bytes);
  entry->response = std::move(response);
}

void AbandonTicket(TicketTable& table, const Ticket& ticket) {
  TicketEntry* entry = FindRunning(table, ticket);
  if (entry == nullptr) {
    return;
  }
  if (!entry->dispatched) {
    EraseEntry(table, ticket.random);
    return;
  }
  entry->state = TicketState::kUnknown;
  SetReservation(table, *entry, 0);
}

void RemoveExpiredTickets(TicketTable& table, TimePoint now) {
  if (now < table.earliest_expiry) {
    return;
  }
  table.earliest_expiry = TimePoint::max();
  std::erase_if(table.entries, [&](const auto& item) {
    const TicketEntry& entry = item.second;
    if (entry.expires_at > now) {
      table.earliest_expiry = std::min(table.earliest_expiry, entry.expires_at);
      return false;
    }
    table.reserved_bytes -= entry.reserved_bytes;
    return true;
  });
}

std::size_t MemoryOf(const TicketTable& table) {
  return table.reserved_bytes;
}

std::size_t RunningTickets(const TicketTable& table) {
  return static_cast<std::size_t>(std::ranges::count_if(
      table.entries, [](const auto& item) { return item.second.state == TicketState::kRunning; }));
}

}  // namespace geraniumspread::outcomes
