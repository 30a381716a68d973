#ifndef EDGE_INTERNAL_CRASH_WATCH_H_
#define EDGE_INTERNAL_CRASH_WATCH_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "edge/internal/request_run.h"

// Detects crashes of upstreams from lost connections, and exchanges the evidence with peers.
namespace geraniumspread::edge::detail {

// Call when the upstream closed the connection of a request before its answer was complete.
// Checks whether the upstream still accepts connections; if it refuses them, it has crashed
// and the request is suspected.
void RecordLostConnection(RequestRun& run, const dispatch::UpstreamRow& upstream);
// Call at the first event of a streamed answer.
void RecordAnswerBegin(RequestRun& run);
// Call when the upstream survived the request.
void RecordAnswered(RequestRun& run);
// Returns the reason for not sending the request to any upstream now. `peer_hashes` are those of
// the peer table.
std::optional<dispatch::QuarantineHit> FindQuarantine(const RequestRun& run,
                                                      std::span<const std::uint64_t> peer_hashes);

// Sends evidence that peers may not know yet. Nothing is sent without such evidence.
void SendCrashEvidence(EdgeState& edge);
// Merges the evidence if the datagram contains any. Returns false for other datagrams.
bool ReceiveCrashEvidence(EdgeState& edge, std::string_view bytes, std::string_view sender);
// Repeats the quarantines from time to time and forgets old evidence.
void TickCrashEvidence(EdgeState& edge);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_CRASH_WATCH_H_
