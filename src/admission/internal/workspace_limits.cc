#include "admission/workspace_limits.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "common/hash.h"

namespace geraniumspread::admission {
namespace {

constexpr std::size_t kMinTableSize = 16;
// Bounds the work per request while the list of live routers changes often.
constexpr std::size_t kMaxViews = 64;
// Maximum number of concurrent loans, enough for a few thousand requests in flight.
constexpr std::size_t kMaxLoans = 4'096;
constexpr Duration kMaxRateRetryAfter = std::chrono::seconds(30);
constexpr int kRunTimeGain = 16;
// Bounds the conversion to an integer; far above the number of routers of any fleet.
constexpr float kMaxHolders = 1e6F;
// Minimum requests per second per router if a rate is split over several. With smaller parts, some
// buckets overflow while others are empty, and the overflow is lost: of 100 requests within the
// limit, 3 were refused with 4 per holder, up to 66 with 1 and below 1 with 8
// (SmallLimitsAreUsedCompletelyByAllRouters).
constexpr float kRequestsPerHolder = 8.0F;

float SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<float>(to - from).count();
}

std::size_t SlotOf(const std::vector<WorkspaceEntry>& entries, WorkspaceKey workspace) {
  const std::size_t mask = entries.size() - 1;
  std::size_t slot = MixHash(workspace, 0) & mask;
  while (entries[slot].used && entries[slot].workspace != workspace) {
    slot = (slot + 1) & mask;
  }
  return slot;
}

WorkspaceEntry* Find(WorkspaceLimitTable& table, WorkspaceKey workspace) {
  WorkspaceEntry& entry = table.entries[SlotOf(table.entries, workspace)];
  return entry.used ? &entry : nullptr;
}

const WorkspaceEntry* Find(const WorkspaceLimitTable& table, WorkspaceKey workspace) {
  const WorkspaceEntry& entry = table.entries[SlotOf(table.entries, workspace)];
  return entry.used ? &entry : nullptr;
}

std::size_t MemoryOf(const std::vector<RouterView>& views) {
  std::size_t bytes = views.capacity() * sizeof(RouterView);
  for (const RouterView& view : views) {
    bytes += view.routers.capacity() * sizeof(RouterKey);
  }
  return bytes;
}

bool ViewCounts(const WorkspaceLimitTable& table, const RouterView& view, TimePoint now) {
  if (!view.replaced_at) {
    return true;
  }
  return table.policy.hold_raised_shares && now < *view.replaced_at + table.policy.share_hold;
}

// Returns the number of routers that hold a part of the limits in this view.
std::uint32_t HolderCount(const WorkspaceEntry& entry, const RouterView& view) {
  const auto whole = static_cast<std::uint32_t>(std::clamp(
      std::min(entry.requests_per_second, entry.burst) / kRequestsPerHolder, 1.0F, kMaxHolders));
  return std::min(whole, view.count);
}

// Returns the position in the view of the first router that holds a part of the workspace's limits;
// the other holders follow it in the order of keys. A router that holds a part in one view also
// holds one in each view with a subset of its routers, so a leaving router affects only its own
// part.
std::uint32_t FirstHolder(const RouterView& view, WorkspaceKey workspace) {
  const auto first = std::ranges::lower_bound(view.routers, MixHash(workspace, 3));
  return static_cast<std::uint32_t>(first - view.routers.begin()) % view.count;
}

// Returns this router's part of the limits in one view. The remainder of the concurrency goes to
// the first holders.
WorkspaceShare PartInView(const WorkspaceEntry& entry, const RouterView& view) {
  const std::uint32_t holders = HolderCount(entry, view);
  const std::uint32_t first = FirstHolder(view, entry.workspace);
  const std::uint32_t place = (view.index + view.count - first) % view.count;
  if (place >= holders) {
    return {};
  }
  const auto count = static_cast<float>(holders);
  return {.concurrent =
              entry.max_concurrent / holders + (place < entry.max_concurrent % holders ? 1 : 0),
          .requests_per_second = entry.requests_per_second / count,
          .burst = entry.burst / count};
}

// Returns the share without loans: the minimum over all views that still count.
WorkspaceShare BaseShare(const WorkspaceLimitTable& table,
                         const WorkspaceEntry& entry,
                         TimePoint now) {
  if (!ShareReady(table, now)) {
    return {};
  }
  WorkspaceShare share{.concurrent = entry.max_concurrent,
                       .requests_per_second = entry.requests_per_second,
                       .burst = entry.burst};
  for (const RouterView& view : table.views) {
    if (!ViewCounts(table, view, now)) {
      continue;
    }
    const WorkspaceShare part = PartInView(entry, view);
    share.concurrent = std::min(share.concurrent, part.concurrent);
    share.requests_per_second = std::min(share.requests_per_second, part.requests_per_second);
    share.burst = std::min(share.burst, part.burst);
  }
  return share;
}

WorkspaceShare ShareOfEntry(const WorkspaceLimitTable& table,
                            const WorkspaceEntry& entry,
                            TimePoint now) {
  WorkspaceShare share = BaseShare(table, entry, now);
  share.concurrent -= std::min(share.concurrent, entry.lent_concurrent);
  share.concurrent += entry.borrowed_concurrent;
  return share;
}

void Refill(WorkspaceEntry& entry, const WorkspaceShare& share, TimePoint now) {
  if (now > entry.refilled_at) {
    entry.tokens += SecondsBetween(entry.refilled_at, now) * share.requests_per_second;
    entry.refilled_at = now;
  }
  entry.tokens = std::min(entry.tokens, share.burst);
}

// Estimates the time until the next token. A router without a part of the rate borrows from the
// others, whose buckets together refill at the full rate.
Duration UntilNextToken(const WorkspaceEntry& entry, const WorkspaceShare& share) {
  const float rate =
      share.requests_per_second > 0 ? share.requests_per_second : entry.requests_per_second;
  if (rate <= 0) {
    return kMaxRateRetryAfter;
  }
  const std::chrono::duration<float> wait((1.0F - entry.tokens) / rate);
  return std::min(kMaxRateRetryAfter, std::chrono::duration_cast<Duration>(wait));
}

// Computes fair shares for one more workspace than is active, so that a new one is admitted at
// once.
bool RouterFull(const WorkspaceLimitTable& table, const WorkspaceEntry& entry) {
  const std::uint32_t most = table.policy.router_max_concurrent;
  if (table.total_in_flight >= most) {
    return true;
  }
  if (!table.policy.protect_from_surge) {
    return false;
  }
  const std::uint32_t fair = std::max<std::uint32_t>(1, most / (table.active_workspaces + 1));
  return table.total_in_flight >= most * table.policy.surge_threshold && entry.in_flight >= fair;
}

Duration UntilNextRelease(const WorkspaceLimitTable& table, std::uint32_t in_flight) {
  return table.mean_run_time / std::max<std::uint32_t>(1, in_flight);
}

void CountLoan(WorkspaceEntry& entry, const ShareLoan& loan) {
  (loan.lent ? entry.lent_concurrent : entry.borrowed_concurrent) += loan.concurrent;
}

void AddLoan(WorkspaceLimitTable& table, WorkspaceEntry& entry, const ShareLoan& loan) {
  CountLoan(entry, loan);
  table.loans.push_back(loan);
  table.next_loan_end = std::min(table.next_loan_end, loan.ends_at);
}

void RecountLoans(WorkspaceLimitTable& table) {
  table.next_loan_end = TimePoint::max();
  for (const ShareLoan& loan : table.loans) {
    table.next_loan_end = std::min(table.next_loan_end, loan.ends_at);
    if (WorkspaceEntry* entry = Find(table, loan.workspace)) {
      CountLoan(*entry, loan);
    }
  }
}

void ClearLoanSums(WorkspaceLimitTable& table) {
  for (const ShareLoan& loan : table.loans) {
    if (WorkspaceEntry* entry = Find(table, loan.workspace)) {
      entry->lent_concurrent = 0;
      entry->borrowed_concurrent = 0;
    }
  }
}

void EndLoans(WorkspaceLimitTable& table, TimePoint now) {
  if (now < table.next_loan_end) {
    return;
  }
  ClearLoanSums(table);
  std::erase_if(table.loans, [&](const ShareLoan& loan) { return loan.ends_at <= now; });
  RecountLoans(table);
}

void TakeSlotFrom(WorkspaceLimitTable& table, std::vector<ShareLoan>::iterator loan) {
  if (WorkspaceEntry* entry = Find(table, loan->workspace)) {
    (loan->lent ? entry->lent_concurrent : entry->borrowed_concurrent) -= 1;
  }
  loan->concurrent -= 1;
  if (loan->concurrent == 0) {
    table.loans.erase(loan);
  }
}

}  // namespace

WorkspaceLimitTable MakeWorkspaceLimitTable(const LimitsPolicy& policy, TimePoint now) {
  WorkspaceLimitTable table;
  table.policy = policy;
  table.entries.resize(kMinTableSize);
  table.created_at = now;
  return table;
}

void SetWorkspaceLimits(WorkspaceLimitTable& table,
                        std::span<const WorkspaceLimit> limits,
                        TimePoint now) {
  std::size_t kept = 0;
  for (const WorkspaceEntry& entry : table.entries) {
    kept += entry.in_flight > 0 ? 1 : 0;
  }
  // Borrowed shares are parts of the old limits, which may have been higher. Lent shares stay lent,
  // because the borrower may not have the new limits yet.
  ClearLoanSums(table);
  std::erase_if(table.loans, [](const ShareLoan& loan) { return !loan.lent; });
  const std::size_t size = std::bit_ceil(std::max(kMinTableSize, 2 * (limits.size() + kept)));
  std::vector<WorkspaceEntry> entries(size);
  for (const WorkspaceLimit& limit : limits) {
    const WorkspaceEntry* old = Find(table, limit.workspace);
    WorkspaceEntry& entry = entries[SlotOf(entries, limit.workspace)];
    // A new workspace starts with a full bucket; Refill lowers it to this router's part.
    entry = old != nullptr ? *old : WorkspaceEntry{.refilled_at = now, .tokens = limit.burst};
    entry.borrowed_tokens = 0;
    entry.used = true;
    entry.workspace = limit.workspace;
    entry.max_concurrent = limit.max_concurrent;
    entry.requests_per_second = limit.requests_per_second;
    entry.burst = limit.burst;
  }
  for (const WorkspaceEntry& old : table.entries) {
    if (WorkspaceEntry& entry = entries[SlotOf(entries, old.workspace)];
        old.in_flight > 0 && !entry.used) {
      entry = old;
      entry.max_concurrent = 0;
      entry.requests_per_second = 0;
    }
  }
  table.entries = std::move(entries);
  RecountLoans(table);
}

void SetLiveRouters(WorkspaceLimitTable& table,
                    RouterKey self,
                    std::span<const RouterKey> live,
                    TimePoint now) {
  RouterView view;
  view.routers.assign(live.begin(), live.end());
  view.routers.push_back(self);
  std::ranges::sort(view.routers);
  const auto repeated = std::ranges::unique(view.routers);
  view.routers.erase(repeated.begin(), repeated.end());
  view.count = static_cast<std::uint32_t>(view.routers.size());
  view.index = static_cast<std::uint32_t>(std::ranges::lower_bound(view.routers, self) -
                                          view.routers.begin());
  if (!table.views.empty()) {
    RouterView& last = table.views.back();
    if (last.routers == view.routers) {
      return;
    }
    last.replaced_at = now;
  }
  if (table.views.size() == kMaxViews) {
    table.views.erase(table.views.begin());
  }
  table.views.push_back(std::move(view));
}

bool ShareReady(const WorkspaceLimitTable& table, TimePoint now) {
  if (table.views.empty()) {
    return false;
  }
  return !table.policy.hold_raised_shares || now >= table.created_at + table.policy.share_hold;
}

WorkspaceShare ShareOf(const WorkspaceLimitTable& table, WorkspaceKey workspace, TimePoint now) {
  const WorkspaceEntry* entry = Find(table, workspace);
  return entry != nullptr ? ShareOfEntry(table, *entry, now) : WorkspaceShare{};
}

std::optional<Refusal> Admit(WorkspaceLimitTable& table,
                             WorkspaceKey workspace,
                             RequestHandle request,
                             TimePoint now) {
  EndLoans(table, now);
  WorkspaceEntry* entry = Find(table, workspace);
  if (entry == nullptr) {
    return MakeRefusal(RefusalCode::kUnknownWorkspace, Duration{0}, request);
  }
  const WorkspaceShare share = ShareOfEntry(table, *entry, now);
  if (!ShareReady(table, now) && share.concurrent == 0) {
    const Duration wait = table.created_at + table.policy.share_hold - now;
    return MakeRefusal(RefusalCode::kStarting, wait, request);
  }
  if (RouterFull(table, *entry)) {
    return MakeRefusal(RefusalCode::kRouterBusy, UntilNextRelease(table, table.total_in_flight),
                       request);
  }
  if (entry->in_flight >= share.concurrent) {
    return MakeRefusal(RefusalCode::kConcurrencyLimited, UntilNextRelease(table, entry->in_flight),
                       request);
  }
  Refill(*entry, share, now);
  if (entry->borrowed_tokens == 0 && entry->tokens < 1) {
    return MakeRefusal(RefusalCode::kRateLimited, UntilNextToken(*entry, share), request);
  }
  if (entry->borrowed_tokens > 0) {
    entry->borrowed_tokens -= 1;
  } else {
    entry->tokens -= 1;
  }
  table.active_workspaces += entry->in_flight == 0 ? 1 : 0;
  entry->in_flight += 1;
  table.total_in_flight += 1;
  return std::nullopt;
}

void Release(WorkspaceLimitTable& table, WorkspaceKey workspace, Duration ran_for) {
  WorkspaceEntry* entry = Find(table, workspace);
  if (entry == nullptr || entry->in_flight == 0) {
    return;
  }
  entry->in_flight -= 1;
  table.total_in_flight -= 1;
  table.active_workspaces -= entry->in_flight == 0 ? 1 : 0;
  table.mean_run_time += (ran_for - table.mean_run_time) / kRunTimeGain;
}

std::optional<LoanRequest> MakeLoanRequest(WorkspaceLimitTable& table,
                                           WorkspaceKey workspace,
                                           TimePoint now) {
  WorkspaceEntry* entry = Find(table, workspace);
  if (entry == nullptr || !ShareReady(table, now) || table.views.back().count < 2) {
    return std::nullopt;
  }
  const WorkspaceShare share = ShareOfEntry(table, *entry, now);
  Refill(*entry, share, now);
  const LoanRequest request{.workspace = workspace,
                            .concurrent = entry->in_flight >= share.concurrent ? 1U : 0U,
                            .tokens = entry->borrowed_tokens == 0 && entry->tokens < 1 ? 1U : 0U};
  const bool lacks = request.concurrent > 0 || request.tokens > 0;
  return lacks ? std::optional(request) : std::nullopt;
}

std::vector<RouterKey> OrderLenders(const WorkspaceLimitTable& table,
                                    WorkspaceKey workspace,
                                    std::uint64_t turn) {
  std::vector<RouterKey> lenders;
  const WorkspaceEntry* entry = Find(table, workspace);
  if (table.views.empty() || entry == nullptr) {
    return lenders;
  }
  const RouterView& view = table.views.back();
  const std::uint32_t first = FirstHolder(view, workspace);
  const std::uint32_t holders = HolderCount(*entry, view);
  for (std::uint32_t step = 0; step < view.count; ++step) {
    const auto holder = static_cast<std::uint32_t>((turn + step) % holders);
    const std::uint32_t place = (first + (step < holders ? holder : step)) % view.count;
    if (place != view.index) {
      lenders.push_back(view.routers[place]);
    }
  }
  return lenders;
}

std::optional<LoanGrant> LendShare(WorkspaceLimitTable& table,
                                   RouterKey borrower,
                                   const LoanRequest& request,
                                   TimePoint now) {
  EndLoans(table, now);
  WorkspaceEntry* entry = Find(table, request.workspace);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const WorkspaceShare share = ShareOfEntry(table, *entry, now);
  Refill(*entry, share, now);
  // Borrowed slots expire at the lender's time and can't be lent to others. Requests in flight are
  // counted against them first, so that a router which both lends and borrows holds no idle slot.
  const std::uint32_t own =
      share.concurrent - std::min(share.concurrent, entry->borrowed_concurrent);
  const std::uint32_t idle = share.concurrent - std::min(share.concurrent, entry->in_flight);
  const std::uint32_t spare = std::min(own, idle);
  const auto whole_tokens = static_cast<std::uint32_t>(std::max(0.0F, entry->tokens));
  const LoanGrant grant{
      .workspace = request.workspace,
      .concurrent = table.loans.size() < kMaxLoans ? std::min(request.concurrent, spare) : 0,
      .tokens = std::min(request.tokens, whole_tokens)};
  if (grant.concurrent == 0 && grant.tokens == 0) {
    return std::nullopt;
  }
  entry->tokens -= static_cast<float>(grant.tokens);
  if (grant.concurrent > 0) {
    AddLoan(table, *entry,
            {.workspace = grant.workspace,
             .peer = borrower,
             .concurrent = grant.concurrent,
             .ends_at = now + table.policy.loan_term + table.policy.loan_margin,
             .lent = true});
  }
  return grant;
}

void BorrowShare(WorkspaceLimitTable& table,
                 RouterKey lender,
                 const LoanGrant& grant,
                 TimePoint requested_at) {
  WorkspaceEntry* entry = Find(table, grant.workspace);
  if (entry == nullptr) {
    return;
  }
  entry->borrowed_tokens += grant.tokens;
  // The table of loans is bounded. Slots that don't fit stay unused until the lender's loan ends.
  if (grant.concurrent == 0 || table.loans.size() >= kMaxLoans) {
    return;
  }
  AddLoan(table, *entry,
          {.workspace = grant.workspace,
           .peer = lender,
           .concurrent = grant.concurrent,
           .ends_at = requested_at + table.policy.loan_term,
           .lent = false});
}

std::optional<RouterKey> ReturnIdleSlot(WorkspaceLimitTable& table,
                                        WorkspaceKey workspace,
                                        TimePoint now) {
  EndLoans(table, now);
  const WorkspaceEntry* entry = Find(table, workspace);
  if (entry == nullptr || entry->borrowed_concurrent == 0 ||
      entry->in_flight >= ShareOfEntry(table, *entry, now).concurrent) {
    return std::nullopt;
  }
  const auto borrowed = std::ranges::find_if(table.loans, [&](const ShareLoan& loan) {
    return loan.workspace == workspace && !loan.lent;
  });
  const RouterKey lender = borrowed->peer;
  TakeSlotFrom(table, borrowed);
  return lender;
}

void ReclaimSlot(WorkspaceLimitTable& table, RouterKey borrower, WorkspaceKey workspace) {
  const auto lent = std::ranges::find_if(table.loans, [&](const ShareLoan& loan) {
    return loan.workspace == workspace && loan.lent && loan.peer == borrower;
  });
  // The loan may have ended while the message was in transit.
  if (lent != table.loans.end()) {
    TakeSlotFrom(table, lent);
  }
}

void TickWorkspaceLimits(WorkspaceLimitTable& table, TimePoint now) {
  EndLoans(table, now);
  std::erase_if(table.views, [&](const RouterView& view) { return !ViewCounts(table, view, now); });
}

std::size_t MemoryOf(const WorkspaceLimitTable& table) {
  return table.entries.capacity() * sizeof(WorkspaceEntry) +
         table.loans.capacity() * sizeof(ShareLoan) + MemoryOf(table.views);
}

static_assert(sizeof(WorkspaceEntry) <= 56);

}  // namespace geraniumspread::admission
