#include "router/internal/workspace_admission.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "common/hash.h"
#include "observability/log.h"
#include "router/internal/share_loans.h"

namespace geraniumspread::router::detail {
namespace {

constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
// Ten round trips between failure domains of 3 ms; a peer that is slower is passed over.
constexpr Duration kLenderTimeout = std::chrono::milliseconds(30);
// A refusal is not held back for longer, however many peers are slow.
constexpr Duration kLoanRoundTimeout = std::chrono::milliseconds(100);

// Registers a timer that the answer to a share request cancels.
class LoanWaiter {
 public:
  LoanWaiter(RouterContext& router_context, std::uint64_t request_number)
      : timer(router_context.executor), context(router_context), number(request_number) {
    this->context.loan_waiters[this->number] = &this->timer;
  }
  LoanWaiter(const LoanWaiter&) = delete;
  LoanWaiter& operator=(const LoanWaiter&) = delete;
  ~LoanWaiter() { this->context.loan_waiters.erase(this->number); }

  Timer timer;

 private:
  RouterContext& context;
  std::uint64_t number;
};

bool MayBorrow(admission::RefusalCode code) {
  return code == admission::RefusalCode::kRateLimited ||
         code == admission::RefusalCode::kConcurrencyLimited;
}

// Returns false when there is no peer left to ask.
boost::asio::awaitable<bool> AskOnePeer(RouterContext& context,
                                        LoanRound& round,
                                        TimePoint ends_at) {
  const TimePoint now = RuntimeClock::now();
  if (now >= ends_at) {
    co_return false;
  }
  TickOutput output;
  const auto number = AskNextLender(*context.state, round, output, now);
  if (!number) {
    co_return false;
  }
  LoanWaiter waiter(context, *number);
  CarryOut(context, output);
  waiter.timer.expires_at(std::min(now + kLenderTimeout, ends_at));
  co_await waiter.timer.async_wait(kAwaitTuple);
  AbandonShareRequest(*context.state, *number);
  co_return true;
}

}  // namespace

boost::asio::awaitable<std::optional<admission::Refusal>> AdmitRequest(
    RouterContext& context,
    const CallerRequest& request) {
  RouterState& state = *context.state;
  const admission::WorkspaceKey workspace = StableHash(request.workspace);
  const admission::RequestHandle handle = StableHash(request.request_id);
  const TimePoint started_at = RuntimeClock::now();
  auto refusal = admission::Admit(state.limits, workspace, handle, started_at);
  if (!refusal || !MayBorrow(refusal->code)) {
    co_return refusal;
  }
  auto round = BeginLoanRound(state, workspace, started_at);
  if (!round) {
    co_return refusal;
  }
  while (refusal && co_await AskOnePeer(context, *round, started_at + kLoanRoundTimeout)) {
    refusal = admission::Admit(state.limits, workspace, handle, RuntimeClock::now());
  }
  if (refusal) {
    TickOutput output;
    NoteLimitUsedUp(state, workspace, RuntimeClock::now());
    ReturnSpareSlots(state, workspace, output, RuntimeClock::now());
    CarryOut(context, output);
  }
  context.metrics.Count("geranium_share_loans_total",
                        {{"result", refusal ? "refused" : "admitted"}});
  co_return refusal;
}

}  // namespace geraniumspread::router::detail
