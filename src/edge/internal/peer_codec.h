#ifndef EDGE_INTERNAL_PEER_CODEC_H_
#define EDGE_INTERNAL_PEER_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dispatch/brittle_upstreams.h"
#include "dispatch/crash_quarantine.h"
#include "dispatch/named_limits.h"
#include "dispatch/peer_table.h"
#include "dispatch/published_state.h"
#include "dispatch/store_restore.h"
#include "dispatch/upstream_news.h"

namespace geraniumspread::edge::detail {

std::string EncodeDigest(const dispatch::PeerDigest& digest);
std::optional<dispatch::PeerDigest> DecodeDigest(std::string_view bytes);

// Evidence and news come in datagrams of their own, so that instances of other versions can
// still read the digests.
std::string EncodeCrashEvidence(const std::vector<dispatch::CrashEvidence>& evidence);
std::optional<std::vector<dispatch::CrashEvidence>> DecodeCrashEvidence(std::string_view bytes);
std::string EncodeLimitNews(const std::vector<dispatch::LimitNews>& news);
std::optional<std::vector<dispatch::LimitNews>> DecodeLimitNews(std::string_view bytes);
std::string EncodeBrittleNews(const std::vector<dispatch::BrittleNews>& news);
std::optional<std::vector<dispatch::BrittleNews>> DecodeBrittleNews(std::string_view bytes);
std::string EncodeUpstreamNews(const std::vector<dispatch::UpstreamNews>& news);
std::optional<std::vector<dispatch::UpstreamNews>> DecodeUpstreamNews(std::string_view bytes);

// Version at which a stream began, both as hashes.
using StreamOrigin = std::pair<std::uint64_t, std::uint64_t>;
std::string EncodeOrigins(const std::vector<StreamOrigin>& origins);
std::optional<std::vector<StreamOrigin>> DecodeOrigins(std::string_view bytes);

// Largest transfer, compressed or not. The platform's values are at most 1 MB each.
inline constexpr std::size_t kMaxStateBytes = std::size_t{16} << 20U;

// Published state sent to a peer: a full snapshot, or the changes after a revision.
struct StateTransfer {
  // The era is 0 if the sender's build doesn't know eras.
  dispatch::StorePosition position;
  bool is_complete = false;
  // Time since the sender last confirmed that `position` was the store's newest.
  std::optional<Duration> confirmation_age;
  std::vector<dispatch::PublishedItem> items;
  // Sent with a full snapshot, whose items are then those that the store contains.
  std::vector<dispatch::RetainedCopy> retained;
};
std::string EncodeTransfer(const StateTransfer& transfer);
std::optional<StateTransfer> DecodeTransfer(std::string_view bytes);

}  // namespace geraniumspread::edge::detail

#endif  // EDGE_INTERNAL_PEER_CODEC_H_
