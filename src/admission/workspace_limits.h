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
  // Burst size of the token bucket, in requests over the whole fleet.
  float burst = 0;
};

struct LimitsPolicy {
  // Maximum number of requests in flight at this router, over all workspaces.
  std::uint32_t router_max_concurrent = 20'000;
  // From this fraction of router_max_concurrent on, a workspace that has reached its fair share of
  // the router is refused, so that a surge leaves room for the others.
  double surge_threshold = 0.75;
  // Routers may disagree about the list of live routers for seconds. A share is lowered at once but
  // raised only after this time, so that shares based on different lists never exceed the limit in
  // total.
  Duration share_hold = std::chrono::seconds(10);
  // Time for which a borrowed slot may be used. The slot is returned when its request ends; the
  // term only frees the slots of a borrower that died, so most requests should end within it.
  Duration loan_term = std::chrono::seconds(30);
  // The lender waits this much longer before it uses a lent share again, to allow for clock drift.
  Duration loan_margin = std::chrono::seconds(1);
  bool protect_from_surge = true;
  bool hold_raised_shares = true;
};

// The list of live routers as this router knew it at one time.
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
  // Borrowed from peers; used first and never lent to others.
  std::uint32_t borrowed_tokens = 0;
  std::uint32_t max_concurrent = 0;
  std::uint32_t in_flight = 0;
  // Sums over the current loans.
  std::uint32_t lent_concurrent = 0;
  std::uint32_t borrowed_concurrent = 0;
  bool used = false;
};

// A part of a workspace's concurrency that one router has lent to another for one loan term.
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
  // The last view is the current one; earlier ones still limit the shares for share_hold.
  std::vector<RouterView> views;
  TimePoint created_at;
  std::uint32_t total_in_flight = 0;
  // Workspaces with requests in flight.
  std::uint32_t active_workspaces = 0;
  // Moving average of the time that a request stays in flight; used for Retry-After.
  Duration mean_run_time = std::chrono::milliseconds(500);
};

// The part of a workspace's limit that this router may use now.
struct WorkspaceShare {
  std::uint32_t concurrent = 0;
  float requests_per_second = 0;
  float burst = 0;
};

// What this router needs to admit one more request: a slot, a token, or both. Only whole tokens
// are lent: fractions that stay with routers which can't use them would be lost to the others.
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

// Replaces all limits. Requests in flight stay counted; borrowed shares are dropped.
void SetWorkspaceLimits(WorkspaceLimitTable& table,
                        std::span<const WorkspaceLimit> limits,
                        TimePoint now);

// Sets the list of live routers: the keys of all of them, this one included, in any order. A router
// that is unreachable but not reported as leaving still uses its share, so it must stay in the
// list.
void SetLiveRouters(WorkspaceLimitTable& table,
                    RouterKey self,
                    std::span<const RouterKey> live,
                    TimePoint now);

// True once this router may use a share. A joining router waits for share_hold, until all others
// have lowered their shares; the router must report not ready until then.
bool ShareReady(const WorkspaceLimitTable& table, TimePoint now);

// Returns this router's share of the limit: an equal part, plus borrowed and minus lent slots.
// Small limits are split over few routers, because a token bucket below one request would never
// admit anything; the other routers borrow. The shares of all routers with the same view add up to
// the limit.
WorkspaceShare ShareOf(const WorkspaceLimitTable& table, WorkspaceKey workspace, TimePoint now);

// Admits the request and counts it as in flight, or returns the refusal.
std::optional<Refusal> Admit(WorkspaceLimitTable& table,
                             WorkspaceKey workspace,
                             RequestHandle request,
                             TimePoint now);
// Records the end of a request that Admit counted. `ran_for` is the time since Admit.
void Release(WorkspaceLimitTable& table, WorkspaceKey workspace, Duration ran_for);

// Returns what this router must borrow to admit one more request now, or nullopt if it needs
// nothing or has no peers to borrow from.
std::optional<LoanRequest> MakeLoanRequest(WorkspaceLimitTable& table,
                                           WorkspaceKey workspace,
                                           TimePoint now);
// Returns the other routers in the order in which to ask them for a loan: first those that hold
// parts of the rate, starting with another one on each `turn`, because tokens in a bucket from
// which no router borrows overflow.
std::vector<RouterKey> OrderLenders(const WorkspaceLimitTable& table,
                                    WorkspaceKey workspace,
                                    std::uint64_t turn);

// Loans transfer unused shares to routers with more demand. When a router would refuse a request,
// it sends a LoanRequest to its peers one by one; a peer grants what it can spare and stops using
// that part at once. Tokens are transferred permanently, slots until their request or the loan term
// ends. A loan never increases the total, so the sum over routers stays within the limit even if a
// message is lost. A request that is still running when its loan ends is not aborted.
std::optional<LoanGrant> LendShare(WorkspaceLimitTable& table,
                                   RouterKey borrower,
                                   const LoanRequest& request,
                                   TimePoint now);
// Adds a granted loan. `requested_at` is when the LoanRequest was sent; the loan term starts then.
void BorrowShare(WorkspaceLimitTable& table,
                 RouterKey lender,
                 const LoanGrant& grant,
                 TimePoint requested_at);
// Drops a borrowed slot that no request uses any more and returns its lender, or nullopt if there
// is no such slot.
std::optional<RouterKey> ReturnIdleSlot(WorkspaceLimitTable& table,
                                        WorkspaceKey workspace,
                                        TimePoint now);
// Reclaims a lent slot that the borrower has returned. Does nothing if the loan has ended.
void ReclaimSlot(WorkspaceLimitTable& table, RouterKey borrower, WorkspaceKey workspace);

// Drops expired loans and views. Call on each tick.
void TickWorkspaceLimits(WorkspaceLimitTable& table, TimePoint now);

// Returns the memory use of the table in bytes.
std::size_t MemoryOf(const WorkspaceLimitTable& table);

}  // namespace geraniumspread::admission

#endif  // ADMISSION_WORKSPACE_LIMITS_H_
