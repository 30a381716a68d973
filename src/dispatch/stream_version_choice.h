#ifndef DISPATCH_STREAM_VERSION_CHOICE_H_
#define DISPATCH_STREAM_VERSION_CHOICE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "dispatch/upstream_table.h"

// The software version at which a new resumable stream begins, as a function of its chat and the
// listings. An instance that lost its memory computes the function again for the time at which
// an interrupted stream may have begun. See docs/design/stream-version.md.
namespace geraniumspread::dispatch {

// Time since the Unix epoch, as in UpstreamListing::started_at_ms.
using UnixTime = std::chrono::milliseconds;

// Largest age of listings on which an instance may base the choice.
inline constexpr Duration kMaxListingAge = std::chrono::seconds(4);

// Returns the key of the chat: its subject, or else the request that begins the stream.
std::uint64_t ChatKey(const Prompt& prompt, std::string_view request_id);

// Returns the version at which a new resumable stream must begin, or nullopt if it may begin at any
// upstream: at most one version is listed, or none has two processes that have run long enough to
// be counted.
std::optional<std::uint64_t> ChooseStreamVersion(const UpstreamTable& table,
                                                 std::string_view service,
                                                 std::uint64_t chat,
                                                 UnixTime now);

// Returns the version that every instance chose for the chat at every time within `age`, or
// nullopt if that isn't certain. The listings must be up to date.
std::optional<std::uint64_t> InferStreamVersion(const UpstreamTable& table,
                                                std::string_view service,
                                                std::uint64_t chat,
                                                Duration age,
                                                UnixTime now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_STREAM_VERSION_CHOICE_H_
