#ifndef FLEET_INTERNAL_GOSSIP_INTERNAL_H_
#define FLEET_INTERNAL_GOSSIP_INTERNAL_H_

#include <string>
#include <string_view>
#include <vector>

#include "fleet/gossip.h"

namespace geraniumspread::fleet::detail {

// Arguments that every step of the state machine takes.
struct GossipStep {
  Gossip& gossip;
  const Membership& membership;
  const ConfigExchange& exchange;
  TimePoint now;
  GossipOutput& output;
};

// Ids of the member routers other than this one whose address is known.
std::vector<std::string> ReachablePeers(const Membership& membership);

void Send(GossipStep& step, std::string_view to, PeerMessage message);

// Configuration: announcements, offers, requests and parts from peers.
void HandleAnnouncement(GossipStep& step, std::string_view sender, const ConfigVersion& config);
void HandleOffer(GossipStep& step, std::string_view sender, const ConfigOffer& offer);
void HandleRequest(GossipStep& step, std::string_view sender, const ConfigRequest& request);
void HandlePart(GossipStep& step, std::string_view sender, const ConfigPart& part);
// Offers a value read from the configuration service to the store.
void HandleServiceValue(GossipStep& step, const std::string& key, const std::string& value);
// Starts, retries and drops pulls, and pushes a newly active version to peers.
void AdvanceConfig(GossipStep& step);
// Digest of a missing shard to read from the configuration service because peers
// don't provide it, or empty.
std::string ShardForService(const GossipStep& step);

// Quarantine.
void MergeQuarantine(GossipStep& step, const Quarantine& message);
void RepairQuarantine(GossipStep& step, std::string_view peer, std::uint64_t peer_digest);
void AdvanceQuarantine(GossipStep& step);

}  // namespace geraniumspread::fleet::detail

#endif  // FLEET_INTERNAL_GOSSIP_INTERNAL_H_
