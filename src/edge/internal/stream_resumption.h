#ifndef EDGE_INTERNAL_STREAM_RESUMPTION_H_
#define EDGE_INTERNAL_STREAM_RESUMPTION_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

#include "edge/internal/request_run.h"

namespace geraniumspread::edge::detail {

// Call before the first event of a stream is passed on. Stores the version of the upstream
// and sends it to peers, unless the stream continues an earlier one.
void RecordStreamBegin(RequestRun& run, const dispatch::Upstream& upstream);
// Returns the version at which the request must begin a resumable stream, or that of the stream if
// it has begun. Returns nullopt if any version will do.
std::optional<std::uint64_t> RequiredVersion(const RequestRun& run);
// Returns the refusal if the request may not begin a resumable stream here, because the instance
// may be cut off from changes of the listings on which `RequiredVersion` rests.
std::optional<Refusal> CheckListings(const RequestRun& run);
// For a request that takes up a stream: finds the version at which the stream began, here or
// at peers. Returns the refusal if the version can't be known, so that the stream can't
// continue anywhere.
boost::asio::awaitable<std::optional<Refusal>> FindStreamVersion(RequestRun& run);
// Updates since when every listing is known here, on which conclusions about versions rest.
void UpdateListingsFollowed(EdgeState& edge);

// Stores the origins if the datagram contains any. Returns false for other datagrams.
bool ReceiveOrigins(EdgeState& edge, std::string_view bytes);
// Answers a peer's question for the origin of a stream. Returns false for other targets.
bool IsOriginRequest(std::string_view target);
transport::HttpResponse AnswerOriginRequest(const EdgeState& edge, std::string_view target);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_STREAM_RESUMPTION_H_
