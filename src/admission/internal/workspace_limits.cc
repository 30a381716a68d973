#include "admission/workspace_limits.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "common/hash.h"

namespace geraniumspread::admission {
namespace {

constexpr std::size_t kMinTableSize = 16;
// Bounds the work per request while the list of routers flaps.
constexpr std::size_t kMaxViews = 64;
constexpr std::size_t kMaxLoans = 1'024;
constexpr Duration kMaxRateRetryAfter = std::chrono::seconds(30);
constexpr int kRunTimeGain = 16;

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

bool ViewCounts(const WorkspaceLimitTable& table, const RouterView& view, TimePoint now) {
  if (!view.replaced_at) {
    return true;
  }
  return table.policy.hold_raised_shares && now < *view.replaced_at + table.policy.share_hold;
}

// The equal part of `limit` in one view; the remainder goes to consecutive routers, starting at a
// place that depends on the workspace.
std::uint32_t PartInView(std::uint32_t limit, const RouterView& view, WorkspaceKey workspace) {
  const auto place =
      static_cast<std::uint32_t>((view.index + MixHash(workspace, 2) % view.count) % view.count);
  return limit / view.count + (place < limit % view.count ? 1 : 0);
}

// The share without loans: the least over all views that still count.
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
    const auto count = static_cast<float>(view.count);
    share.concurrent =
        std::min(share.concurrent, PartInView(entry.max_concurrent, view, entry.workspace));
    share.requests_per_second =
        std::min(share.requests_per_second, entry.requests_per_second / count);
    share.burst = std::min(share.burst, std::max(1.0F, entry.burst / count));
  }
  return share;
}

WorkspaceShare ShareOfEntry(const WorkspaceLimitTable& table,
                            const WorkspaceEntry& entry,
                            TimePoint now) {
  WorkspaceShare share = BaseShare(table, entry, now);
  const std::int64_t concurrent = std::int64_t{share.concurrent} + entry.loaned_concurrent;
  share.concurrent = static_cast<std::uint32_t>(std::max<std::int64_t>(0, concurrent));
  share.requests_per_second = std::max(0.0F, share.requests_per_second + entry.loaned_rate);
  if (entry.loaned_rate > 0) {
    share.burst = std::max(1.0F, share.burst);
  }
  return share;
}

void Refill(WorkspaceEntry& entry, const WorkspaceShare& share, TimePoint now) {
  if (now > entry.refilled_at) {
    entry.tokens += SecondsBetween(entry.refilled_at, now) * share.requests_per_second;
    entry.refilled_at = now;
  }
  entry.tokens = std::min(entry.tokens, share.burst);
}

Duration UntilNextToken(const WorkspaceEntry& entry, const WorkspaceShare& share) {
  if (share.requests_per_second <= 0) {
    return kMaxRateRetryAfter;
  }
  const std::chrono::duration<float> wait((1.0F - entry.tokens) / share.requests_per_second);
  return std::min(kMaxRateRetryAfter, std::chrono::duration_cast<Duration>(wait));
}

// Keeps room for one more workspace than is active, so that a newcomer is admitted at once.
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
  const int sign = loan.lent ? -1 : 1;
  entry.loaned_concurrent += sign * static_cast<std::int32_t>(loan.concurrent);
  entry.loaned_rate += static_cast<float>(sign) * loan.requests_per_second;
}

void AddLoan(WorkspaceLimitTable& table, WorkspaceEntry& entry, const ShareLoan& loan) {
  CountLoan(entry, loan);
  table.loans.push_back(loan);
  table.next_loan_end = std::min(table.next_loan_end, loan.ends_at);
}

// Counts all loans anew instead of adding and subtracting, so that no rounding error of the rates
// stays behind.
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
      entry->loaned_concurrent = 0;
      entry->loaned_rate = 0;
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
  // Borrowed shares are parts of the old limits, which may have been higher. Lent ones stay lent:
  // the borrower may not have the new limits yet.
  ClearLoanSums(table);
  std::erase_if(table.loans, [](const ShareLoan& loan) { return !loan.lent; });
  const std::size_t size = std::bit_ceil(std::max(kMinTableSize, 2 * (limits.size() + kept)));
  std::vector<WorkspaceEntry> entries(size);
  for (const WorkspaceLimit& limit : limits) {
    const WorkspaceEntry* old = Find(table, limit.workspace);
    WorkspaceEntry& entry = entries[SlotOf(entries, limit.workspace)];
    // A new workspace starts with a full bucket; Refill lowers it to this router's part.
    entry = old != nullptr ? *old : WorkspaceEntry{.refilled_at = now, .tokens = limit.burst};
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
  RouterView view{.count = 1, .index = 0, .replaced_at = std::nullopt};
  for (const RouterKey router : live) {
    view.count += router == self ? 0 : 1;
    view.index += router < self ? 1 : 0;
  }
  if (!table.views.empty()) {
    RouterView& last = table.views.back();
    if (last.count == view.count && last.index == view.index) {
      return;
    }
    last.replaced_at = now;
  }
  if (table.views.size() == kMaxViews) {
    table.views.erase(table.views.begin());
  }
  table.views.push_back(view);
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
  if (entry->tokens < 1) {
    return MakeRefusal(RefusalCode::kRateLimited, UntilNextToken(*entry, share), request);
  }
  entry->tokens -= 1;
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

std::optional<LoanGrant> LendShare(WorkspaceLimitTable& table,
                                   const LoanRequest& request,
                                   TimePoint now) {
  EndLoans(table, now);
  WorkspaceEntry* entry = Find(table, request.workspace);
  // A borrowed share ends on the terms of its lender and can't be lent on.
  if (entry == nullptr || entry->loaned_concurrent > 0 || entry->loaned_rate > 0 ||
      table.loans.size() >= kMaxLoans) {
    return std::nullopt;
  }
  const WorkspaceShare share = ShareOfEntry(table, *entry, now);
  Refill(*entry, share, now);
  const double spare =
      share.concurrent > entry->in_flight ? share.concurrent - entry->in_flight : 0;
  const auto lendable = static_cast<std::uint32_t>(std::ceil(spare * table.policy.loan_part));
  const float idle = share.burst > 0 ? std::max(0.0F, entry->tokens) / share.burst : 0;
  const float rate = share.requests_per_second * idle * static_cast<float>(table.policy.loan_part);
  const LoanGrant grant{.workspace = request.workspace,
                        .concurrent = std::min(request.concurrent, lendable),
                        .requests_per_second = std::min(request.requests_per_second, rate)};
  if (grant.concurrent == 0 && grant.requests_per_second <= 0) {
    return std::nullopt;
  }
  AddLoan(table, *entry,
          {.workspace = grant.workspace,
           .concurrent = grant.concurrent,
           .requests_per_second = grant.requests_per_second,
           .ends_at = now + table.policy.loan_term + table.policy.loan_margin,
           .lent = true});
  return grant;
}

void BorrowShare(WorkspaceLimitTable& table, const LoanGrant& grant, TimePoint asked_at) {
  WorkspaceEntry* entry = Find(table, grant.workspace);
  // A lender that borrows would count the same share twice. The table of loans is bounded.
  if (entry == nullptr || entry->loaned_concurrent < 0 || entry->loaned_rate < 0 ||
      table.loans.size() >= kMaxLoans) {
    return;
  }
  AddLoan(table, *entry,
          {.workspace = grant.workspace,
           .concurrent = grant.concurrent,
           .requests_per_second = grant.requests_per_second,
           .ends_at = asked_at + table.policy.loan_term,
           .lent = false});
}

void TickWorkspaceLimits(WorkspaceLimitTable& table, TimePoint now) {
  EndLoans(table, now);
  std::erase_if(table.views, [&](const RouterView& view) { return !ViewCounts(table, view, now); });
}

std::size_t MemoryOf(const WorkspaceLimitTable& table) {
  return table.entries.capacity() * sizeof(WorkspaceEntry) +
         table.loans.capacity() * sizeof(ShareLoan) + table.views.capacity() * sizeof(RouterView);
}

static_assert(sizeof(WorkspaceEntry) <= 56);

}  // namespace geraniumspread::admission
