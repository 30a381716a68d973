#ifndef DISPATCH_INTERNAL_STATED_RATE_H_
#define DISPATCH_INTERNAL_STATED_RATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "dispatch/upstream_table.h"

namespace geraniumspread::dispatch::detail {

// A change goes into this many messages, so that a lost datagram doesn't delay it.
inline constexpr std::uint32_t kSendsAfterChange = 2;

// Sets what an answer that arrived at `heard_at` states. Returns true if the belief changed.
bool SetStatedRate(StatedRate& stated, std::optional<double> per_second, TimePoint heard_at);
// Records what an answer to a request that was sent at `sent_at` states. An answer without the
// statement ends the belief only if the request was sent after the last answer with it, since
// answers on different connections overtake each other. Returns true if the belief changed.
bool RecordStatedRate(StatedRate& stated,
                      std::optional<double> per_second,
                      TimePoint sent_at,
                      TimePoint now);
// Returns the upstreams whose `stated` rate goes into the next message to peers, the newest first,
// and counts that message.
std::vector<Upstream*> TakeDueRates(UpstreamTable& table,
                                    StatedRate& (*stated)(Upstream& upstream),
                                    std::size_t max_count);

}  // namespace geraniumspread::dispatch::detail

#endif  // DISPATCH_INTERNAL_STATED_RATE_H_
