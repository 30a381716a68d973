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
  // Time for which a borrowed share may be used.
  Duration loan_term = std::chrono::seconds(5);
  // The lender waits this much longer before it uses a lent share again, for clocks that differ in
  // speed.
  Duration loan_margin = std::chrono::seconds(1);
  // Part of an unused share that one request may borrow.
  double loan_part = 0.5;
  bool protect_from_surge = true;
  bool hold_raised_shares = true;
};

// This router's place in one view of the live routers.
struct RouterView {
  std::uint32_t count = 0;
  // Position of this router in the list sorted by key.
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
  std::uint32_t max_concurrent = 0;
  std::uint32_t in_flight = 0;
  // Sum of the loans that run: above 0 when borrowed, below 0 when lent.
  std::int32_t loaned_concurrent = 0;
  float loaned_rate = 0;
  bool used = false;
};

// A part of a workspace's share that moved between two routers for one loan term.
struct ShareLoan {
  WorkspaceKey workspace = 0;
  std::uint32_t concurrent = 0;
  float requests_per_second = 0;
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

struct LoanRequest {
  WorkspaceKey workspace = 0;
  std::uint32_t concurrent = 0;
  float requests_per_second = 0;
};

struct LoanGrant {
  WorkspaceKey workspace = 0;
  std::uint32_t concurrent = 0;
  float requests_per_second = 0;
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

// The equal part of the limit, with the remainder spread by workspace, plus loans. The concurrency
// and rate of all routers with the same view add up to the limit. A burst is at least one request
// per router, as a smaller bucket would never admit anything.
WorkspaceShare ShareOf(const WorkspaceLimitTable& table, WorkspaceKey workspace, TimePoint now);

// Counts the request as in flight, or says why not.
std::optional<Refusal> Admit(WorkspaceLimitTable& table,
                             WorkspaceKey workspace,
                             RequestHandle request,
                             TimePoint now);
// Ends a request that Admit counted. `ran_for` is the time since Admit.
void Release(WorkspaceLimitTable& table, WorkspaceKey workspace, Duration ran_for);

// Loans move unused share to routers with more demand. The borrower sends a LoanRequest to a few
// peers when it refuses work; a peer answers with what it can spare and stops using that part at
// once. Nothing is created by a loan, so the sum over routers stays within the limit. A request
// that still runs when its loan ends is not cut.
std::optional<LoanGrant> LendShare(WorkspaceLimitTable& table,
                                   const LoanRequest& request,
                                   TimePoint now);
// `asked_at` is the time when the LoanRequest was sent; the term runs from then.
void BorrowShare(WorkspaceLimitTable& table, const LoanGrant& grant, TimePoint asked_at);

// Ends loans and drops views that have ended. Call on each tick.
void TickWorkspaceLimits(WorkspaceLimitTable& table, TimePoint now);

// Bytes held by the table.
std::size_t MemoryOf(const WorkspaceLimitTable& table);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_WORKSPACE_LIMITS_H_
