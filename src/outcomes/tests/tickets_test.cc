#include "outcomes/tickets.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "common/secure_bytes.h"
#include "outcomes/handover_json.h"
#include "outcomes/request_attempts.h"

namespace geraniumspread::outcomes {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'000)};
const std::string kKey = "fleet key";
const RouterIncarnation kRouterA{.router = "zone-a:router-1", .incarnation = 7};
const RouterIncarnation kRouterB{.router = "zone-b:router-2", .incarnation = 3};
const RouterIncarnation kRouterC{.router = "zone-c:router-3", .incarnation = 5};
const std::string kDigest = CallDigest("foundry", "/v1/services/orders/new", "{\"plaques\":1}");

std::string Random(int number) {
  std::string text = std::to_string(number);
  return std::string(kTicketRandomLength - text.size(), '0') + text;
}

TicketTable MakeTable(const TicketPolicy& policy = {},
                      const RouterIncarnation& self = kRouterA,
                      TimePoint started_at = kStart) {
  return MakeTicketTable(policy, self, kKey, started_at);
}

Ticket Issue(const TicketTable& table, int number, TimePoint now = kStart) {
  return ParseTicket(IssueTicket(table, Random(number), now).value(), kKey).value();
}

std::optional<OutcomeCode> CodeOf(const auto& result) {
  return result.has_value() ? std::nullopt : std::optional(result.error().code);
}

bool MayRun(TicketTable& table, const Ticket& ticket, TimePoint now = kStart) {
  const auto decision = BeginTicket(table, ticket, kDigest, now);
  return decision && decision.value().action == TicketAction::kRun;
}

void Dispatch(TicketTable& table, const Ticket& ticket) {
  BOOST_TEST(MayRun(table, ticket));
  BOOST_TEST(MarkTicketDispatched(table, ticket, kStart).has_value());
}

// Dispatches the call and stores an answer.
void Run(TicketTable& table, const Ticket& ticket, const std::string& body) {
  Dispatch(table, ticket);
  FinishTicket(table, ticket, {.status = 200, .content_type = "text/plain", .body = body});
}

std::string ReplayOf(TicketTable& table, const Ticket& ticket, TimePoint now = kStart) {
  const auto decision = BeginTicket(table, ticket, kDigest, now);
  const bool replay = decision && decision.value().action == TicketAction::kReplay;
  return replay ? decision.value().response->body : "";
}

// Guards against a ticket that loses a field on the way, or that is accepted from elsewhere.
BOOST_AUTO_TEST_CASE(TextFormRoundTripAndMac) {
  const TicketTable table = MakeTable();
  const std::string text = IssueTicket(table, Random(1), kStart + seconds(5)).value();
  const Ticket ticket = ParseTicket(text, kKey).value();
  BOOST_TEST((ticket.issuer == kRouterA));
  BOOST_TEST(ticket.random == Random(1));
  BOOST_TEST((ticket.expires_at == seconds(5) + minutes(10)));
  BOOST_TEST((CodeOf(ParseTicket(text, "other key")) == OutcomeCode::kTicketMalformed));
}

// Guards against a damaged or forged ticket that is taken for valid, and against crashes of the
// parser. Seed 5.
BOOST_AUTO_TEST_CASE(ParserRefusesEveryMutation) {
  std::mt19937 random(5);
  const std::string valid = IssueTicket(MakeTable(), Random(1), kStart).value();
  for (int round = 0; round < 20'000; ++round) {
    std::string text = valid;
    const auto changes = 1 + random() % 4;
    for (std::uint32_t change = 0; change < changes && !text.empty(); ++change) {
      const std::size_t position = random() % text.size();
      const auto byte = static_cast<char>(random() % 256);
      switch (random() % 4) {
        case 0:
          text[position] = byte;
          break;
        case 1:
          text.erase(position, random() % 8);
          break;
        case 2:
          text.insert(position, 1, byte);
          break;
        default:
          text += text.substr(position);
      }
    }
    BOOST_REQUIRE(text == valid || !ParseTicket(text, kKey).has_value());
  }
}

// Guards against fields that have a valid MAC and no meaning.
BOOST_AUTO_TEST_CASE(ParserRefusesBadFieldsWithValidMac) {
  for (const std::string& fields :
       {std::string("t1:r:1:") + Random(1) + ":01", std::string("t1:r:-1:") + Random(1) + ":1",
        std::string("t1::1:") + Random(1) + ":1", std::string("t2:r:1:") + Random(1) + ":1",
        std::string("t1:r:1:xyz:1"), std::string("t1:r:1:") + Random(1) + ":99999999999999999",
        std::string("t1:1"), std::string("")}) {
    const std::string text = fields + ":" + HmacSha256Hex(kKey, fields).substr(0, kTicketMacLength);
    BOOST_TEST((CodeOf(ParseTicket(text, kKey)) == OutcomeCode::kTicketMalformed), fields);
  }
}

// Guards against a repeat that gets no answer or the answer of another call.
BOOST_AUTO_TEST_CASE(RepeatsGetTheStateOfTheCall) {
  TicketTable table = MakeTable();
  const Ticket ticket = Issue(table, 1);
  BOOST_TEST(MayRun(table, ticket));
  const auto running = BeginTicket(table, ticket, kDigest, kStart);
  BOOST_TEST((CodeOf(running) == OutcomeCode::kInProgress));
  BOOST_TEST((running.error().retry_after > Duration{0}));
  BOOST_TEST(MarkTicketDispatched(table, ticket, kStart).has_value());
  FinishTicket(table, ticket, {.status = 200, .content_type = "text/plain", .body = "order 12"});
  BOOST_TEST(ReplayOf(table, ticket) == "order 12");
  const std::string other = CallDigest("foundry", "/v1/services/orders/new", "{\"plaques\":2}");
  const auto mismatch = BeginTicket(table, ticket, other, kStart);
  BOOST_TEST((CodeOf(mismatch) == OutcomeCode::kTicketBodyMismatch));
  BOOST_TEST((mismatch.error().ran == RunState::kNotRun));
  BOOST_TEST(ReplayOf(table, ticket, kStart + minutes(10) - milliseconds(1)) == "order 12");
  const auto expired = BeginTicket(table, ticket, kDigest, kStart + minutes(10));
  BOOST_TEST((CodeOf(expired) == OutcomeCode::kTicketExpired));
  BOOST_TEST((expired.error().ran == RunState::kUnknown));
}

// Guards against a ticket that is free again although bytes left, when the caller leaves mid-write.
BOOST_AUTO_TEST_CASE(CallerThatLeavesMidWriteLeavesTheOutcomeUnknown) {
  TicketTable table = MakeTable();
  const Ticket ticket = Issue(table, 1);
  BOOST_TEST(MayRun(table, ticket));
  RequestAttempts request;
  request.request_class = RequestClass::kNonRepeatable;
  request.ticket = ticket;
  Exchange exchange;
  Apply(exchange, ExchangeEvent::kConnected);
  BOOST_TEST(BeginDispatch(request, exchange, table, kStart));
  const OutcomeError error = FailRequest(request, exchange, table, Duration{0});
  BOOST_TEST((error.code == OutcomeCode::kOutcomeUnknown));
  BOOST_TEST((CodeOf(BeginTicket(table, ticket, kDigest, kStart)) == OutcomeCode::kOutcomeUnknown));
}

// Guards against a process that pauses before dispatch and sends the call after its ticket expired,
// when the caller may have used a fresh ticket.
BOOST_AUTO_TEST_CASE(PausedProcessDoesNotDispatchAfterExpiry) {
  for (const bool check : {true, false}) {
    TicketTable table = MakeTable({.check_expiry_at_dispatch = check});
    const Ticket ticket = Issue(table, 1);
    BOOST_TEST(MayRun(table, ticket));
    const TimePoint resumed = kStart + minutes(11);
    BOOST_TEST(MarkTicketDispatched(table, ticket, resumed).has_value() == !check);
    RemoveExpiredTickets(table, resumed);
    BOOST_TEST(MarkTicketDispatched(table, ticket, resumed).has_value() == !check);
  }
}

// Guards against memory that grows without bound, and against used states that are dropped early.
BOOST_AUTO_TEST_CASE(FullTableRefusesNewCallsAndKeepsUsedStates) {
  TicketTable table =
      MakeTable({.max_entries = 100, .max_total_bytes = 4'000, .max_response_bytes = 1'000});
  int number = 0;
  const std::string large(900, 'x');
  Ticket ticket = Issue(table, number);
  while (number < 4) {
    Run(table, ticket, large);
    ticket = Issue(table, ++number);
  }
  BOOST_TEST(MemoryOf(table) <= 4'000U);
  const auto full = BeginTicket(table, ticket, kDigest, kStart);
  BOOST_TEST((CodeOf(full) == OutcomeCode::kTicketTableFull));
  BOOST_TEST((full.error().ran == RunState::kNotRun));
  BOOST_TEST((full.error().retry_after == minutes(10)));
  for (int used = 0; used < 4; ++used) {
    BOOST_TEST(ReplayOf(table, Issue(table, used)) == large);
  }
  RemoveExpiredTickets(table, kStart + minutes(10));
  BOOST_TEST(MemoryOf(table) == 0U);
  BOOST_TEST(MayRun(table, Issue(table, 50, kStart + minutes(10)), kStart + minutes(10)));
}

// Guards against a large response that fills the memory, and a repeat that says "not run" for it.
BOOST_AUTO_TEST_CASE(LargeResponseIsNotKept) {
  TicketTable table = MakeTable({.max_response_bytes = 100});
  const Ticket ticket = Issue(table, 1);
  Run(table, ticket, std::string(101, 'x'));
  const auto repeat = BeginTicket(table, ticket, kDigest, kStart);
  BOOST_TEST((CodeOf(repeat) == OutcomeCode::kResultNotKept));
  BOOST_TEST((repeat.error().ran == RunState::kRan));
  BOOST_TEST(MemoryOf(table) == 0U);
}

// Guards against a graceful stop that loses results, or lets two routers run one ticket.
BOOST_AUTO_TEST_CASE(HandoverLosesNoTicket) {
  TicketTable old_table = MakeTable();
  TicketTable successor = MakeTable({}, kRouterB, kStart - seconds(100));
  const Ticket finished = Issue(old_table, 1);
  const Ticket unused = Issue(old_table, 2);
  const Ticket lost = Issue(old_table, 3);
  const Ticket queued = Issue(old_table, 4);
  Run(old_table, finished, "order 12");
  Dispatch(old_table, lost);
  BOOST_TEST(MayRun(old_table, queued));
  BOOST_TEST(!MayRun(successor, unused));

  const TimePoint stop = kStart + minutes(4);
  const auto handover = ExportTickets(old_table, kRouterB, stop);
  BOOST_REQUIRE(handover.has_value());
  BOOST_TEST(!MayRun(old_table, unused, stop));
  BOOST_TEST(
      (CodeOf(MarkTicketDispatched(old_table, queued, stop)) == OutcomeCode::kTicketsHandedOver));
  BOOST_TEST((CodeOf(IssueTicket(old_table, Random(9), stop)) == OutcomeCode::kTicketsHandedOver));
  BOOST_TEST(!ExportTickets(old_table, kRouterC, stop).has_value());

  const TimePoint taken = stop + seconds(1);
  BOOST_TEST(ImportTickets(successor, handover.value(), taken).has_value());
  BOOST_TEST(ImportTickets(successor, handover.value(), taken).has_value());
  BOOST_TEST(ReplayOf(successor, finished, taken) == "order 12");
  BOOST_TEST(MayRun(successor, unused, taken));
  BOOST_TEST(MayRun(successor, queued, taken));
  BOOST_TEST(
      (CodeOf(BeginTicket(successor, lost, kDigest, taken)) == OutcomeCode::kOutcomeUnknown));
  // The lost call finishes at the old router while it stops; a second export brings the result.
  FinishTicket(old_table, lost, {.status = 200, .content_type = "", .body = "order 13"});
  const auto again = ExportTickets(old_table, kRouterB, taken);
  BOOST_TEST(ImportTickets(successor, again.value(), taken).has_value());
  BOOST_TEST(ReplayOf(successor, lost, taken) == "order 13");
  BOOST_TEST((CodeOf(BeginTicket(successor, unused, kDigest, kStart + minutes(12))) ==
              OutcomeCode::kTicketExpired));
}

// Guards against a state that is dropped before its ticket expires, because two exports had
// different delays, and against a late copy that makes expired tickets valid again.
BOOST_AUTO_TEST_CASE(CopiesOfAHandoverMoveNoExpiry) {
  TicketTable old_table = MakeTable();
  TicketTable successor = MakeTable({}, kRouterB);
  const Ticket ticket = Issue(old_table, 1);
  const Ticket unused = Issue(old_table, 2);
  Dispatch(old_table, ticket);
  const auto slow = ExportTickets(old_table, kRouterB, kStart).value();
  const TimePoint taken = kStart + seconds(5);
  BOOST_TEST(ImportTickets(successor, slow, taken).has_value());
  FinishTicket(old_table, ticket, {.status = 200, .content_type = "", .body = "order 13"});
  const auto fast = ExportTickets(old_table, kRouterB, taken).value();
  BOOST_TEST(ImportTickets(successor, fast, taken).has_value());
  for (TimePoint now = taken + minutes(9); now < taken + minutes(11); now += seconds(1)) {
    RemoveExpiredTickets(successor, now);
    BOOST_TEST(!MayRun(successor, ticket, now));
  }
  BOOST_TEST(ImportTickets(successor, slow, taken + minutes(11)).has_value());
  BOOST_TEST(!MayRun(successor, unused, taken + minutes(11)));
}

// Guards against a handover that changes on the wire, and against a damaged one that is taken.
// Every prefix is refused; so is every text with one part renamed.
BOOST_AUTO_TEST_CASE(HandoverWireFormRoundTrips) {
  TicketTable table = MakeTable();
  const Ticket finished = Issue(table, 1);
  Run(table, finished, std::string("bytes \x00\xff", 8));
  Dispatch(table, Issue(table, 2));
  const std::string text =
      HandoverToJson(ExportTickets(table, kRouterB, kStart + seconds(3)).value());
  const TicketHandover parsed = HandoverFromJson(text).value();
  BOOST_TEST(HandoverToJson(parsed) == text);
  BOOST_TEST(parsed.tickets.size() == 2U);
  BOOST_TEST((parsed.incarnations.at(0).age == seconds(3)));
  TicketTable successor = MakeTable({}, kRouterB);
  BOOST_TEST(ImportTickets(successor, parsed, kStart + seconds(3)).has_value());
  BOOST_TEST(ReplayOf(successor, finished) == std::string("bytes \x00\xff", 8));
  for (std::size_t length = 0; length < text.size(); ++length) {
    BOOST_REQUIRE(!HandoverFromJson(text.substr(0, length)).has_value());
  }
  for (std::size_t quote = text.find("\":"); quote != std::string::npos;
       quote = text.find("\":", quote + 1)) {
    std::string renamed = text;
    renamed[quote - 1] = '_';
    BOOST_REQUIRE(!HandoverFromJson(renamed).has_value());
  }
}

// Guards against a late copy of a refused handover, which would give one ticket two successors.
BOOST_AUTO_TEST_CASE(RefusedHandoverIsNeverTakenLater) {
  TicketTable old_table = MakeTable();
  TicketTable full = MakeTable({.max_entries = 0}, kRouterB);
  TicketTable other = MakeTable({}, kRouterC);
  const Ticket ticket = Issue(old_table, 1);
  Run(old_table, ticket, "order 12");
  const auto first = ExportTickets(old_table, kRouterB, kStart);
  BOOST_TEST((CodeOf(ImportTickets(full, first.value(), kStart)) == OutcomeCode::kTicketTableFull));
  ClearSuccessor(old_table);
  const auto second = ExportTickets(old_table, kRouterC, kStart);
  BOOST_TEST(ImportTickets(other, second.value(), kStart).has_value());
  full.policy.max_entries = 100;
  BOOST_TEST(!ImportTickets(full, first.value(), kStart).has_value());
  BOOST_TEST(ReplayOf(other, ticket) == "order 12");
}

// Guards against callers that are sent to a stopped router, and against "gone" for one that is only
// cut off.
BOOST_AUTO_TEST_CASE(TicketsAreRoutedToTheResponsibleRouter) {
  const TicketTable here = MakeTable({}, kRouterC);
  SuccessorTable successors;
  BOOST_TEST(RecordSuccessor(successors, kRouterA, kRouterB, kStart + minutes(10)));
  BOOST_TEST(!RecordSuccessor(successors, kRouterA, kRouterC, kStart + minutes(10)));
  BOOST_TEST(RecordSuccessor(successors, kRouterB, kRouterC, kStart + minutes(20)));
  BOOST_TEST((ResponsibleFor(successors, kRouterA) == kRouterC));
  BOOST_TEST((RouteTicket(here, kRouterC, {}) == TicketRoute::kLocal));
  RemoveExpiredSuccessors(successors, kStart + minutes(10));
  BOOST_TEST((ResponsibleFor(successors, kRouterA) == kRouterA));
  const auto route = [&](const RouterMembership& known) {
    return RouteTicket(here, kRouterA, known);
  };
  BOOST_TEST((route({.known = true, .incarnation = 7}) == TicketRoute::kForward));
  BOOST_TEST((route({.known = true, .incarnation = 8}) == TicketRoute::kGone));
  BOOST_TEST((route({.known = true, .left = true, .incarnation = 7}) == TicketRoute::kGone));
  BOOST_TEST((route({.known = true, .incarnation = 6}) == TicketRoute::kUnreachable));
  BOOST_TEST((route({}) == TicketRoute::kUnreachable));
}

}  // namespace
}  // namespace geraniumspread::outcomes
