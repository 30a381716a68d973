#ifndef ADMISSION_WORKSPACE_LIMITS_H_
#define ADMISSION_WORKSPACE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "admission/admission_types.h"

namespace geraniumspread::admission {

// Limits of one workspace over the whole fleet.
struct WorkspaceLimit {
  WorkspaceKey workspace = 0;
  std::uint32_t max_concurrent = 0;
  float requests_per_second = 0;
  // Requests that may arrive at once, over the whole fleet.
  float burst = 0;
};

struct LimitsPolicy {
  // Requests in flight over all workspaces at this router.
  std::uint32_t router_max_concurrent = 20'000;
  // Above this part of router_max_concurrent, a workspace with more than its fair part of the
  // router is refused, so that a surge leaves room for the others.
  double surge_threshold = 0.75;
  // Routers disagree about the list of live routers for seconds. A share is lowered at once and
  // raised only after this time, so shares based on different views never add up to more than the
  // limit.
  Duration share_hold = std::chrono::seconds(10);
  // Time for which a borrowed slot may be used. It goes back when its request ends; the term only
  // frees the slots of a borrower that died, so most requests should end within it.
  Duration loan_term = std::chrono::seconds(30);
  // The lender waits this much longer before it uses a lent share again, for clocks that differ in
  // speed.
  Duration loan_margin = std::chrono::seconds(1);
  bool protect_from_surge = true;
  bool hold_raised_shares = true;
};

// One view of the live routers.
struct RouterView {
  // This router included, in ascending order.
  std::vector<RouterKey> routers;
  std::uint32_t count = 0;
  // Position of this router in the list.
  std::uint32_t index = 0;
  // Set once a newer view has replaced this one.
  std::optional<TimePoint> replaced_at;
};

// At most 56 bytes: 23,000 entries take under 4 MB in a table that is at most half full.
struct WorkspaceEntry {
  WorkspaceKey workspace = 0;
  TimePoint refilled_at;
  float requests_per_second = 0;
  float burst = 0;
  float tokens = 0;
  // From peers; spent first and never lent on.
  std::uint32_t borrowed_tokens = 0;
  std::uint32_t max_concurrent = 0;
  std::uint32_t in_flight = 0;
  // Sums of the loans that run.
  std::uint32_t lent_concurrent = 0;
  std::uint32_t borrowed_concurrent = 0;
  bool used = false;
};

// A part of a workspace's concurrency that moved between two routers for one loan term.
struct ShareLoan {
  WorkspaceKey workspace = 0;
  RouterKey peer = 0;
  std::uint32_t concurrent = 0;
  TimePoint ends_at;
  bool lent = false;
};

struct WorkspaceLimitTable {
  LimitsPolicy policy;
  // Open addressing with linear probing; the size is a power of two.
  std::vector<WorkspaceEntry> entries;
  std::vector<ShareLoan> loans;
  // The earliest end of a loan.
  TimePoint next_loan_end = TimePoint::max();
  // The last view is in force; earlier ones still hold shares down.
  std::vector<RouterView> views;
  TimePoint created_at;
  std::uint32_t total_in_flight = 0;
  // Workspaces with requests in flight.
  std::uint32_t active_workspaces = 0;
  // Moving average of the time that a request stays in flight, for Retry-After.
  Duration mean_run_time = std::chrono::milliseconds(500);
};

// What this router may use of a workspace's limit now.
struct WorkspaceShare {
  std::uint32_t concurrent = 0;
  float requests_per_second = 0;
  float burst = 0;
};

// What one more request lacks at this router: a slot, a token, or both. Tokens move whole: parts
// that are left with routers that can't use them would be lost to the others.
struct LoanRequest {
  WorkspaceKey workspace = 0;
  std::uint32_t concurrent = 0;
  std::uint32_t tokens = 0;
};

struct LoanGrant {
  WorkspaceKey workspace = 0;
  std::uint32_t concurrent = 0;
  std::uint32_t tokens = 0;
};

WorkspaceLimitTable MakeWorkspaceLimitTable(const LimitsPolicy& policy, TimePoint now);

// Replaces all limits. Requests in flight stay counted; borrowed shares are given up.
void SetWorkspaceLimits(WorkspaceLimitTable& table,
                        std::span<const WorkspaceLimit> limits,
                        TimePoint now);

// `live` holds the keys of all live routers, this one included, in any order. A router that is cut
// off but not reported as leaving still uses its share, so it must stay in the list.
void SetLiveRouters(WorkspaceLimitTable& table,
                    RouterKey self,
                    std::span<const RouterKey> live,
                    TimePoint now);

// True once this router may use a share. A joining router waits share_hold, until all others have
// lowered theirs; report not ready until then.
bool ShareReady(const WorkspaceLimitTable& table, TimePoint now);

// An equal part of the limit, plus loans. Small limits are split over few routers, as a bucket
// below one request would never admit anything; the other routers borrow. What all routers with the
// same view hold adds up to the limit.
WorkspaceShare ShareOf(const WorkspaceLimitTable& table, WorkspaceKey workspace, TimePoint now);

// Counts the request as in flight, or says why not.
std::optional<Refusal> Admit(WorkspaceLimitTable& table,
                             WorkspaceKey workspace,
                             RequestHandle request,
                             TimePoint now);
// Ends a request that Admit counted. `ran_for` is the time since Admit.
void Release(WorkspaceLimitTable& table, WorkspaceKey workspace, Duration ran_for);

// What this router lacks to admit one more request now; nullopt when peers couldn't help.
std::optional<LoanRequest> MakeLoanRequest(WorkspaceLimitTable& table,
                                           WorkspaceKey workspace,
                                           TimePoint now);
// The other routers in the order in which to ask them: those that hold parts of the rate first,
// beginning with another one on each `turn`, as a bucket that nobody asks overflows.
std::vector<RouterKey> OrderLenders(const WorkspaceLimitTable& table,
                                    WorkspaceKey workspace,
                                    std::uint64_t turn);

// Loans move unused share to routers with more demand. The borrower sends a LoanRequest to its
// peers one by one when it would refuse work; a peer answers with what it can spare and stops using
// that part at once. Tokens move for good, slots until their request or the loan term ends. Nothing
// is created by a loan, so the sum over routers stays within the limit, also when a message is
// lost. A request that still runs when its loan ends is not cut.
std::optional<LoanGrant> LendShare(WorkspaceLimitTable& table,
                                   RouterKey borrower,
                                   const LoanRequest& request,
                                   TimePoint now);
// `asked_at` is the time when the LoanRequest was sent; the term runs from then.
void BorrowShare(WorkspaceLimitTable& table,
                 RouterKey lender,
                 const LoanGrant& grant,
                 TimePoint requested_at);
// The lender of a borrowed slot that no request uses any more; the slot has been given up here.
std::optional<RouterKey> ReturnIdleSlot(WorkspaceLimitTable& table,
                                        WorkspaceKey workspace,
                                        TimePoint now);
void ReclaimSlot(WorkspaceLimitTable& table, RouterKey borrower, WorkspaceKey workspace);

// Ends loans and drops views that have ended. Call on each tick.
void TickWorkspaceLimits(WorkspaceLimitTable& table, TimePoint now);

// Bytes held by the table.
std::size_t MemoryOf(const WorkspaceLimitTable& table);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_WORKSPACE_LIMITS_H_
