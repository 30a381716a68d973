#include "dispatch/internal/stated_rate.h"

#include <algorithm>

namespace geraniumspread::dispatch::detail {
namespace {

// An unchanged rate is told again when the last answer that peers know of is this old.
constexpr Duration kRefreshInterval = std::chrono::seconds(2);

}  // namespace

bool SetStatedRate(StatedRate& stated, std::optional<double> per_second, TimePoint heard_at) {
  const bool is_change = stated.per_second != per_second;
  stated.per_second = per_second;
  stated.heard_at = heard_at;
  if (is_change) {
    stated.sends_left = kSendsAfterChange;
    stated.told_at = heard_at;
  } else if (per_second && stated.told_at + kRefreshInterval <= heard_at) {
    stated.sends_left = std::max(stated.sends_left, 1U);
    stated.told_at = heard_at;
  }
  return is_change;
}

bool RecordStatedRate(StatedRate& stated,
                      std::optional<double> per_second,
                      TimePoint sent_at,
                      TimePoint now) {
  const bool counts = per_second || (stated.per_second && sent_at >= stated.heard_at);
  return counts && SetStatedRate(stated, per_second, now);
}

std::vector<Upstream*> TakeDueRates(UpstreamTable& table,
                                    StatedRate& (*stated)(Upstream& upstream),
                                    std::size_t max_count) {
  std::vector<Upstream*> due;
  for (auto& [id, row] : table.rows) {
    if (stated(*row).sends_left > 0) {
      due.push_back(row.get());
    }
  }
  std::ranges::sort(due, std::ranges::greater(),
                    [stated](Upstream* upstream) { return stated(*upstream).heard_at; });
  due.resize(std::min(due.size(), max_count));
  for (Upstream* upstream : due) {
    --stated(*upstream).sends_left;
  }
  return due;
}

}  // namespace geraniumspread::dispatch::detail
