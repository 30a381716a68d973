#include "router/internal/share_loans.h"

#include <algorithm>

#include "common/hash.h"
#include "router/internal/lease_messages.h"

namespace geraniumspread::router::detail {
namespace {

// Bounds what one refused request costs in a large fleet: messages and time.
constexpr std::size_t kMaxLenders = 8;
constexpr std::size_t kMaxOpenRequests = 4'096;
// An answer that comes later is still taken; its token serves the next request.
constexpr Duration kOpenRequestKept = std::chrono::seconds(2);
// Half of the time in which a limit of 4 requests a second, the least common one of the example
// sheets, gives one more request.
constexpr Duration kPauseAfterUsedUp = std::chrono::milliseconds(125);
void Lend(RouterState& state,
          const std::string& borrower,
          const fleet::ShareRequest& request,
          TickOutput& output,
          TimePoint now) {
  const auto grant = admission::LendShare(state.limits, StableHash(borrower),
                                          {.workspace = FromHex(request.workspace),
                                           .concurrent = request.concurrent,
                                           .tokens = request.tokens},
                                          now);
  fleet::ShareGrant answer{.request_number = request.request_number,
                           .workspace = request.workspace};
  if (grant) {
    answer.concurrent = grant->concurrent;
    answer.tokens = grant->tokens;
  }
  output.messages.push_back({borrower, answer});
}

void Borrow(RouterState& state,
            const std::string& lender,
            const fleet::ShareGrant& grant,
            TickOutput& output,
            TimePoint now) {
  const auto asked = state.loans.open.find(grant.request_number);
  // An answer that was asked of another peer, or came twice, would create a share.
  if (asked == state.loans.open.end() || asked->second.lender != lender ||
      asked->second.workspace != FromHex(grant.workspace)) {
    return;
  }
  const OpenShareRequest request = std::move(asked->second);
  state.loans.open.erase(asked);
  admission::BorrowShare(
      state.limits, StableHash(lender),
      {.workspace = request.workspace, .concurrent = grant.concurrent, .tokens = grant.tokens},
      request.asked_at);
  output.loan_answers.push_back(grant.request_number);
  if (request.abandoned) {
    ReturnSpareSlots(state, request.workspace, output, now);
  }
}

}  // namespace

std::optional<LoanRound> BeginLoanRound(RouterState& state,
                                        admission::WorkspaceKey workspace,
                                        TimePoint now) {
  if (const auto paused = state.loans.paused_until.find(workspace);
      paused != state.loans.paused_until.end() && now < paused->second) {
    return std::nullopt;
  }
  if (!admission::MakeLoanRequest(state.limits, workspace, now)) {
    return std::nullopt;
  }
  LoanRound round{.workspace = workspace, .lenders = {}};
  for (const admission::RouterKey key :
       admission::OrderLenders(state.limits, workspace, state.loans.last_number)) {
    if (const auto id = state.router_ids.find(key);
        id != state.router_ids.end() && round.lenders.size() < kMaxLenders) {
      round.lenders.push_back(id->second);
    }
  }
  std::ranges::reverse(round.lenders);
  return round;
}

std::optional<std::uint64_t> AskNextLender(RouterState& state,
                                           LoanRound& round,
                                           TickOutput& output,
                                           TimePoint now) {
  const auto missing = admission::MakeLoanRequest(state.limits, round.workspace, now);
  if (!missing || round.lenders.empty() || state.loans.open.size() >= kMaxOpenRequests) {
    return std::nullopt;
  }
  const std::string lender = std::move(round.lenders.back());
  round.lenders.pop_back();
  const std::uint64_t number = ++state.loans.last_number;
  state.loans.open[number] = {.lender = lender, .workspace = round.workspace, .asked_at = now};
  output.messages.push_back({lender, fleet::ShareRequest{.request_number = number,
                                                         .workspace = ToHex(round.workspace),
                                                         .concurrent = missing->concurrent,
                                                         .tokens = missing->tokens}});
  return number;
}

void AbandonShareRequest(RouterState& state, std::uint64_t number) {
  if (const auto request = state.loans.open.find(number); request != state.loans.open.end()) {
    request->second.abandoned = true;
  }
}

void ReturnSpareSlots(RouterState& state,
                      admission::WorkspaceKey workspace,
                      TickOutput& output,
                      TimePoint now) {
  while (const auto lender = admission::ReturnIdleSlot(state.limits, workspace, now)) {
    if (const auto id = state.router_ids.find(*lender); id != state.router_ids.end()) {
      output.messages.push_back({id->second, fleet::ShareReturn{.workspace = ToHex(workspace)}});
    }
  }
}

void NoteLimitUsedUp(RouterState& state, admission::WorkspaceKey workspace, TimePoint now) {
  state.loans.paused_until[workspace] = now + kPauseAfterUsedUp;
}

void HandleShareMessage(RouterState& state,
                        const fleet::ReceivedMessage& received,
                        TickOutput& output,
                        TimePoint now) {
  if (const auto* request = std::get_if<fleet::ShareRequest>(&received.message)) {
    Lend(state, received.sender, *request, output, now);
  } else if (const auto* grant = std::get_if<fleet::ShareGrant>(&received.message)) {
    Borrow(state, received.sender, *grant, output, now);
  } else if (const auto* slot = std::get_if<fleet::ShareReturn>(&received.message)) {
    admission::ReclaimSlot(state.limits, StableHash(received.sender), FromHex(slot->workspace));
  }
}

void TickShareLoans(RouterState& state, TimePoint now) {
  std::erase_if(state.loans.open, [now](const auto& entry) {
    return now >= entry.second.asked_at + kOpenRequestKept;
  });
  std::erase_if(state.loans.paused_until, [now](const auto& entry) { return now >= entry.second; });
}

}  // namespace geraniumspread::router::detail
