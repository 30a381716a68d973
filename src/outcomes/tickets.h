#ifndef OUTCOMES_TICKETS_H_
#define OUTCOMES_TICKETS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "outcomes/outcomes_types.h"

namespace geraniumspread::outcomes {

inline constexpr std::size_t kTicketRandomLength = 32;
inline constexpr std::size_t kTicketMacLength = 32;
inline constexpr std::size_t kMaxTicketLength = 256;
// Keeps every expiry within the range of the clock.
inline constexpr std::chrono::milliseconds kMaxTicketExpiry{1'000'000'000'000};

// Text form: t1:<router>:<incarnation>:<random>:<expiry>:<mac>, where the incarnation is decimal,
// the random part 32 hexadecimal characters, the expiry decimal milliseconds since the start of the
// incarnation, and the MAC the first 32 characters of the HMAC-SHA256 over all that precedes it.
struct Ticket {
  RouterIncarnation issuer;
  std::string random;
  // Offset from the start of the issuer's incarnation.
  std::chrono::milliseconds expires_at{0};
  bool operator==(const Ticket&) const = default;
};

struct TicketPolicy {
  std::chrono::milliseconds lifetime = std::chrono::minutes(10);
  // Maximum number of used tickets in the table.
  std::size_t max_entries = 16'384;
  // Limit for all stored responses together, in bytes. Each running call reserves
  // max_response_bytes.
  std::size_t max_total_bytes = std::size_t{12} << 20U;
  // A larger response is passed on but not kept for repeats.
  std::size_t max_response_bytes = std::size_t{64} << 10U;
  Duration in_progress_retry_after = std::chrono::milliseconds(500);
  bool check_state = true;
  bool check_expiry_at_dispatch = true;
};

enum class TicketState : std::uint8_t { kRunning, kFinished, kUnknown };

struct StoredResponse {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

// State of a used ticket. Unused tickets take no memory.
struct TicketEntry {
  TicketState state = TicketState::kRunning;
  // Sha256 of the call.
  std::string call_digest;
  TimePoint expires_at;
  RouterIncarnation issuer;
  // True once bytes of the call may have left.
  bool dispatched = false;
  bool response_kept = false;
  std::size_t reserved_bytes = 0;
  StoredResponse response;
};

// An incarnation whose tickets this process is responsible for, with its start on this process's
// clock.
struct ServedIncarnation {
  RouterIncarnation incarnation;
  TimePoint started_at;
};

struct TicketTable {
  TicketPolicy policy;
  std::string shared_key;
  RouterIncarnation self;
  // This process's own incarnation first, then those taken over. None is ever dropped: a late copy
  // of a handover would otherwise make expired tickets valid again, without their states.
  std::vector<ServedIncarnation> served;
  // Keyed by the random part of the ticket.
  std::unordered_map<std::string, TicketEntry> entries;
  std::size_t reserved_bytes = 0;
  // Set by ExportTickets: from then on every ticket call is refused.
  std::optional<RouterIncarnation> successor;
  // Incarnations whose handover was refused here. A late copy of the same handover must not be
  // taken, since another successor may have been chosen since.
  std::vector<RouterIncarnation> refused_handovers;
  // No entry expires before this time.
  TimePoint earliest_expiry = TimePoint::max();
};

// Whether a call with a ticket is run or answered from the stored response.
enum class TicketAction : std::uint8_t { kRun, kReplay };
struct TicketDecision {
  TicketAction action = TicketAction::kRun;
  // Set for kReplay. Valid until the next call that changes the table.
  const StoredResponse* response = nullptr;
};

TicketTable MakeTicketTable(const TicketPolicy& policy,
                            const RouterIncarnation& self,
                            std::string shared_key,
                            TimePoint started_at);

// Issues a ticket that names this incarnation. `random` is RandomHex(16). Fails with
// kTicketsHandedOver after ExportTickets.
OutcomeResult<std::string> IssueTicket(const TicketTable& table,
                                       std::string_view random,
                                       TimePoint now);
// Checks form and MAC. Fails with kTicketMalformed.
OutcomeResult<Ticket> ParseTicket(std::string_view text, std::string_view shared_key);
// Digest by which a repeat of the same call is recognized.
std::string CallDigest(std::string_view workspace, std::string_view target, std::string_view body);

// Call at the incarnation named in the ticket, or at its successor. kRun changes the state to
// running; the caller must then end it with FinishTicket, AbandonTicket or ReleaseTicket.
OutcomeResult<TicketDecision> BeginTicket(TicketTable& table,
                                          const Ticket& ticket,
                                          std::string_view call_digest,
                                          TimePoint now);
// Call right before the first byte of the call is written. On an error nothing may be sent: the
// process paused past the expiry, or the tickets were handed over meanwhile.
OutcomeResult<void> MarkTicketDispatched(TicketTable& table, const Ticket& ticket, TimePoint now);
// Call when the call was refused before dispatch. Makes the ticket unused again. A dispatched call
// becomes unknown instead, unless `proven_not_run`.
void ReleaseTicket(TicketTable& table, const Ticket& ticket, bool proven_not_run = false);
// Stores a complete answer, which is replayed until the ticket expires.
void FinishTicket(TicketTable& table, const Ticket& ticket, StoredResponse response);
// Call when the exchange ended without a complete answer. A dispatched call becomes unknown; the
// ticket of a call that was not dispatched is unused again.
void AbandonTicket(TicketTable& table, const Ticket& ticket);
// Drops entries whose tickets have expired; they are refused by their text from then on.
void RemoveExpiredTickets(TicketTable& table, TimePoint now);
// Bytes held for responses and reservations.
std::size_t MemoryOf(const TicketTable& table);
// Calls that are running. A graceful stop waits for 0 before it exports.
std::size_t RunningTickets(const TicketTable& table);

// Handover at a planned stop.
struct ExportedTicket {
  std::string random;
  RouterIncarnation issuer;
  // kRunning is never exported. A dispatched call that still runs is exported as unknown; one that
  // was not dispatched is left out, since MarkTicketDispatched refuses it from now on.
  TicketState state = TicketState::kUnknown;
  std::string call_digest;
  // Offset from the start of the issuer's incarnation. A remaining time would change with the delay
  // of the message, and a state that is dropped before its ticket expires allows a second run.
  std::chrono::milliseconds expires_at{0};
  bool response_kept = false;
  StoredResponse response;
};
struct ExportedIncarnation {
  RouterIncarnation incarnation;
  // Time since its start.
  Duration age{0};
};
struct TicketHandover {
  RouterIncarnation from;
  RouterIncarnation to;
  std::vector<ExportedIncarnation> incarnations;
  std::vector<ExportedTicket> tickets;
};

// Freezes the table and names its only successor. Calling it again with the same successor repeats
// the export, for a lost message or a call that has finished meanwhile. Another successor
// fails with kTicketsHandedOver, since the first may already run calls.
OutcomeResult<TicketHandover> ExportTickets(TicketTable& table,
                                            const RouterIncarnation& successor,
                                            TimePoint now);
// Call when the named successor refused the handover. Clears it, so that another can be chosen.
void ClearSuccessor(TicketTable& table);
// All or nothing. Fails with kTicketTableFull when it doesn't fit, with kTicketsHandedOver when
// this process is not the named successor or is itself stopping. Importing twice changes nothing.
OutcomeResult<void> ImportTickets(TicketTable& table,
                                  const TicketHandover& handover,
                                  TimePoint now);

// Maps a stopped incarnation to the process responsible for its tickets. Every router has this
// table and updates it by gossip. An entry is kept for one ticket lifetime.
struct SuccessorEntry {
  RouterIncarnation stopped;
  RouterIncarnation successor;
  TimePoint expires_at;
};
struct SuccessorTable {
  std::size_t max_entries = 1'024;
  std::vector<SuccessorEntry> entries;
};
// Returns true if the entry is new and should be forwarded to peers. The first entry for a stopped
// incarnation stays in force, since a handover has one successor.
bool RecordSuccessor(SuccessorTable& table,
                     const RouterIncarnation& stopped,
                     const RouterIncarnation& successor,
                     TimePoint expires_at);
void RemoveExpiredSuccessors(SuccessorTable& table, TimePoint now);
// Follows the successors of `issuer` to the process that is now responsible for its tickets.
RouterIncarnation ResponsibleFor(const SuccessorTable& table, const RouterIncarnation& issuer);

// What the member table knows about a router.
struct RouterMembership {
  bool known = false;
  // The platform no longer lists the router, or lists it as gone.
  bool left = false;
  std::uint64_t incarnation = 0;
};
enum class TicketRoute : std::uint8_t { kLocal, kForward, kGone, kUnreachable };
// `responsible` is the result of ResponsibleFor. kGone: answer kOutcomeUnknown. kUnreachable:
// answer kTicketRouterUnreachable; the caller may repeat with the same ticket.
TicketRoute RouteTicket(const TicketTable& table,
                        const RouterIncarnation& responsible,
                        const RouterMembership& known);

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_TICKETS_H_
