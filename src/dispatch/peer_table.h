#ifndef DISPATCH_PEER_TABLE_H_
#define DISPATCH_PEER_TABLE_H_

#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "dispatch/published_state.h"
#include "dispatch/upstream_table.h"

// Digest exchange between instances, and the set of known instances. No consensus is
// needed: each instance acts on the newest digests that it has received.
namespace geraniumspread::dispatch {

struct UpstreamLoad {
  std::uint32_t upstream_key = 0;
  std::uint32_t running = 0;
  std::uint64_t pending_prefill_tokens = 0;
};

// Load that an upstream reported in a response to the sender.
struct ReportedLoad {
  std::uint32_t upstream_key = 0;
  // Running and waiting.
  std::uint32_t requests = 0;
  // Age of the report when the digest was sent.
  Duration age{0};
};

// One message of the exchange between instances.
struct PeerDigest {
  std::string instance;
  // Differs between successive processes of one instance.
  std::uint64_t incarnation = 0;
  // Increases with each digest of a process.
  std::uint64_t sequence = 0;
  std::string address;  // IP number; ports are the same on all instances
  std::string failure_domain;
  bool leaving = false;
  // Position of the sender's copy of the published state.
  StorePosition published;
  // RetainedFingerprint of that copy.
  std::uint8_t retained_fingerprint = 0;
  // Time since the sender's copy was last confirmed to be at the store's newest
  // revision.
  std::optional<Duration> confirmation_age;
  // True if the sender watches the platform's store itself and reached it recently.
  bool reads_store = false;
  // True if the sender sends requests of other instances to the upstreams and has no sign that it
  // doesn't reach them. Earlier builds don't set it.
  bool reaches_upstreams = false;
  // True if the digest tells only that the sender lives and how new its published state is. Its
  // last loads remain valid. Earlier builds take it for a digest of an idle instance.
  bool is_brief = false;
  std::vector<UpstreamLoad> loads;
  std::vector<ReportedLoad> reports;
  // Addresses of some other live instances.
  std::vector<std::string> known_addresses;
};

struct PeerSettings {
  // Time between the digests of one instance; an engine's own load report is about
  // this old.
  Duration interval = std::chrono::milliseconds(200);
  // A peer counts as silent, and its load is ignored, after the longer of this time
  // and `lifetime_intervals` times the interval at which its digests are expected
  // here.
  Duration min_lifetime = std::chrono::milliseconds(1500);
  double lifetime_intervals = 6;
  // A failure domain is presumed partitioned when no digest from it arrived for the
  // longer of `min_domain_silence` and the time in which this many were expected. If
  // its instances choose random targets, the gaps between digests vary, and more must
  // be missing.
  Duration min_domain_silence = std::chrono::milliseconds(300);
  double silence_digests = 2.5;
  double sampled_silence_digests = 10;
  // After its start an instance knows nearly all others when it has not heard of a new one for
  // `discovery_pause`, and at the latest after `max_discovery_time`.
  Duration discovery_pause = std::chrono::milliseconds(600);
  Duration max_discovery_time = std::chrono::seconds(15);
  // A silent peer still counts as an instance for this long, because it may keep
  // working on the other side of a partition.
  Duration peer_retention = std::chrono::seconds(60);
  // Upper limit of peers in the own failure domain that get each digest.
  std::size_t own_domain_targets = 6;
  // Up to this many peers in other failure domains all get each digest, so that all
  // instances presume a partition at nearly the same time and agree on the homes.
  std::size_t unsampled_remote_peers = 6;
  // Of more peers, this many random ones get each digest.
  std::size_t remote_targets = 4;
  // In a failure domain with more peers than this, a store reader sends its loads to
  // `own_domain_targets` of them only, and brief digests to the others. Whole digests to all would
  // take several hundred kB/s in a domain of 100 instances.
  std::size_t max_whole_domain = 40;
  std::size_t shared_addresses = 6;
  // Number of instances per failure domain that watch the store; the others copy the
  // state from them. Calls to the store are expensive and share one rate limit.
  std::size_t store_readers = 1;
  // A reader from which no digest came for this long no longer counts.
  Duration reader_lifetime = std::chrono::milliseconds(700);
};

struct Peer {
  PeerDigest digest;
  // StableHash of the address; determines its position in rendezvous orders of
  // instances.
  std::uint64_t address_hash = 0;
  TimePoint last_digest_at;
  bool load_included = false;
};

struct PeerTable {
  PeerSettings settings;
  std::string self_address;
  std::string self_domain;
  TimePoint started_at;
  // When this instance last heard of an instance that it did not know.
  std::optional<TimePoint> last_discovery;
  // Keyed by address, because a process with another name may take over a machine.
  std::map<std::string, Peer> peers;
  // Number of these peers in the own failure domain and in other failure domains.
  std::size_t own_domain_peers = 0;
  std::size_t other_domain_peers = 0;
  // Addresses that peers listed but from which no digest came yet, with the time at
  // which each was listed.
  std::map<std::string, TimePoint> announced_addresses;
};

enum class PeerChange : std::uint8_t { kNone, kJoined, kRestarted, kReturned, kLeaving };

// True if the digest is newer than all earlier ones of the same process.
bool IsNewDigest(const PeerTable& peers, const PeerDigest& digest);
// Applies a received digest. Digests that are older than the newest one of the same
// process are ignored.
PeerChange ApplyDigest(PeerTable& peers,
                       UpstreamTable& upstreams,
                       const PeerDigest& digest,
                       TimePoint now);
// Stops counting the load of silent peers and removes peers after `peer_retention`.
// Returns the names of the instances that became silent.
std::vector<std::string> ExpirePeers(PeerTable& peers, UpstreamTable& upstreams, TimePoint now);
// Returns the addresses that get the next digest. An instance that reads the store sends to its
// whole failure domain, up to `max_whole_domain` peers.
std::vector<std::string> DigestTargets(const PeerTable& peers,
                                       bool reads_store,
                                       std::mt19937_64& random,
                                       TimePoint now);
// Returns the live peers of the own failure domain to which a store reader sends a brief digest,
// since they are not among the `targets` of the whole one. The others of its domain notice in time
// when a reader fails.
std::vector<std::string> BriefDigestTargets(const PeerTable& peers,
                                            bool reads_store,
                                            std::span<const std::string> targets,
                                            TimePoint now);
std::vector<std::string> AddressesToShare(const PeerTable& peers,
                                          std::mt19937_64& random,
                                          TimePoint now);
// Updates the set of silent failure domains. Returns those that became silent.
std::vector<std::string> UpdateDomainSilence(const PeerTable& peers,
                                             UpstreamTable& upstreams,
                                             TimePoint now);
bool IsLive(const PeerTable& peers, const Peer& peer, TimePoint now);
// Returns the number of known instances: this one, all peers in the table, and those that
// peers have announced.
std::size_t KnownInstances(const PeerTable& peers);
// True if `KnownInstances` is nearly complete, so that limits of the whole fleet can be divided
// by it.
bool KnowsFleet(const PeerTable& peers, TimePoint now);
// Returns the hashes of the known instances but this one.
std::vector<std::uint64_t> PeerHashes(const PeerTable& peers);
// Returns a random one of the live peers with the highest position above `position`,
// preferring the own failure domain, or null if no peer is ahead. The random choice
// spreads the transfers of a new revision over the peers that have it.
const Peer* ChooseNewerPeer(const PeerTable& peers,
                            StorePosition position,
                            std::mt19937_64& random,
                            TimePoint now);
// Returns a live peer at `position` that retains other lost changes than `fingerprint`
// identifies and whose fingerprint is not in `merged`, or null.
const Peer* ChooseRetainingPeer(const PeerTable& peers,
                                StorePosition position,
                                std::uint8_t fingerprint,
                                const std::bitset<256>& merged,
                                TimePoint now);
// True if this instance must watch the store itself: it ranks among the first
// `store_readers` instances of its failure domain, or too few of those that rank
// before it read the store.
bool ShouldReadStore(const PeerTable& peers, TimePoint now);
// Returns the number of live instances of the own failure domain that rank before
// this one in the order of store readers.
std::size_t StoreReaderRank(const PeerTable& peers, TimePoint now);
std::vector<UpstreamLoad> OwnLoads(const UpstreamTable& upstreams);
// Returns the load reports that this instance received itself and that are recent
// enough to use.
std::vector<ReportedLoad> OwnReports(const UpstreamTable& upstreams, TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PEER_TABLE_H_
