#ifndef ROUTER_INTERNAL_SHARE_LOANS_H_
#define ROUTER_INTERNAL_SHARE_LOANS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "router/router_state.h"

// Borrows and lends parts of the workspace limits over the control channel.
namespace geraniumspread::router::detail {

// Peers that are still to be asked for what one request lacks.
struct LoanRound {
  admission::WorkspaceKey workspace = 0;
  // The next one is at the back.
  std::vector<std::string> lenders;
};

// Nothing when no peer can help: the request lacks no share, or the limit was used up a moment ago.
std::optional<LoanRound> BeginLoanRound(RouterState& state,
                                        admission::WorkspaceKey workspace,
                                        TimePoint now);
// Asks the next peer for what is still missing and returns the number of the request; nothing when
// nothing is missing or all peers were asked.
std::optional<std::uint64_t> AskNextLender(RouterState& state,
                                           LoanRound& round,
                                           TickOutput& output,
                                           TimePoint now);
// The answer to the request won't be waited for any more; what it brings goes back at once.
void AbandonShareRequest(RouterState& state, std::uint64_t number);
// Call when all peers were asked and the request is still refused.
void NoteLimitUsedUp(RouterState& state, admission::WorkspaceKey workspace, TimePoint now);
// Gives back borrowed slots that no request uses. Call when a request of the workspace has ended.
void ReturnSpareSlots(RouterState& state,
                      admission::WorkspaceKey workspace,
                      TickOutput& output,
                      TimePoint now);

void HandleShareMessage(RouterState& state,
                        const fleet::ReceivedMessage& received,
                        TickOutput& output,
                        TimePoint now);
void TickShareLoans(RouterState& state, TimePoint now);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_SHARE_LOANS_H_
