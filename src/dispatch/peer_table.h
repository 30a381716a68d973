#ifndef DISPATCH_PEER_TABLE_H_
#define DISPATCH_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dispatch/upstream_table.h"

// What the instances tell each other, and which instances there are. Nothing
// here needs agreement: each instance acts on the newest digests that it has.
namespace geraniumspread::dispatch {

struct UpstreamLoad {
  std::uint32_t upstream_key = 0;
  std::uint32_t running = 0;
  std::uint64_t pending_prefill_tokens = 0;
};

// Load that an upstream stated in an answer to the sender.
struct ReportedLoad {
  std::uint32_t upstream_key = 0;
  // Running and waiting.
  std::uint32_t requests = 0;
  // As of the sending.
  Duration age{0};
};

// One message of the exchange between instances.
struct PeerDigest {
  std::string instance;
  // Differs between processes of one instance.
  std::uint64_t incarnation = 0;
  // Grows with each digest of a process.
  std::uint64_t sequence = 0;
  std::string address;  // IP number; ports are the same on all instances
  std::string failure_domain;
  bool leaving = false;
  // Revision of the published state that the sender has.
  std::uint64_t published_revision = 0;
  // Age of the sender's confirmation that this revision was the store's newest.
  std::optional<Duration> confirmation_age;
  // The sender follows the platform's store itself and reached it lately.
  bool reads_store = false;
  std::vector<UpstreamLoad> loads;
  std::vector<ReportedLoad> reports;
  // Addresses of some other live instances.
  std::vector<std::string> known_addresses;
};

struct PeerSettings {
  // Time between the digests of one instance; an engine's own load report is
  // about as old.
  Duration interval = std::chrono::milliseconds(200);
  // A peer is silent, and its load no longer counts, after this time and after as
  // many times the interval at which its digests are expected here.
  Duration min_lifetime = std::chrono::milliseconds(1500);
  double lifetime_intervals = 6;
  // A failure domain seems cut off once no digest of it came for this time and
  // for as many times the interval at which one is expected.
  Duration min_domain_silence = std::chrono::milliseconds(500);
  double domain_silence_intervals = 10;
  // A silent peer is still counted as an instance for this long: it may work on
  // behind a cut.
  Duration peer_retention = std::chrono::seconds(60);
  // A peer of the own failure domain gets each digest, up to this many.
  std::size_t own_domain_targets = 6;
  // Other peers that get one digest.
  std::size_t remote_targets = 4;
  std::size_t shared_addresses = 6;
  // Instances of a failure domain that follow the store; the others copy from
  // them. Each call to the store has its price, and its rate is shared.
  std::size_t store_readers = 1;
  // A reader that was not heard for this long does not count.
  Duration reader_lifetime = std::chrono::milliseconds(700);
};

struct Peer {
  PeerDigest digest;
  // StableHash of the address: its place in the orders of instances.
  std::uint64_t address_hash = 0;
  TimePoint last_digest_at;
  bool load_included = false;
};

struct PeerTable {
  PeerSettings settings;
  std::string self_address;
  std::string self_domain;
  // By address: a process of another name may take over a machine.
  std::map<std::string, Peer> peers;
  // How many of them are in the own failure domain, and in others.
  std::size_t own_domain_peers = 0;
  std::size_t other_domain_peers = 0;
  // Addresses that were named but not heard yet, and when.
  std::map<std::string, TimePoint> announced_addresses;
};

enum class PeerChange : std::uint8_t { kNone, kJoined, kRestarted, kReturned, kLeaving };

// Whether the digest is newer than all that came from its process.
bool IsNewDigest(const PeerTable& peers, const PeerDigest& digest);
// Takes a digest in. Older digests of the same process change nothing.
PeerChange ApplyDigest(PeerTable& peers,
                       UpstreamTable& upstreams,
                       const PeerDigest& digest,
                       TimePoint now);
// Drops the loads of silent peers and forgets old ones. Returns the instances
// that turned silent.
std::vector<std::string> ExpirePeers(PeerTable& peers, UpstreamTable& upstreams, TimePoint now);
// Addresses for the next digest. An instance that reads the store sends to its
// whole failure domain, so that the others know in time when it is gone.
std::vector<std::string> DigestTargets(const PeerTable& peers,
                                       bool reads_store,
                                       std::mt19937_64& random,
                                       TimePoint now);
std::vector<std::string> AddressesToShare(const PeerTable& peers,
                                          std::mt19937_64& random,
                                          TimePoint now);
// Notes failure domains that turned silent or are heard again. Returns those that
// turned silent.
std::vector<std::string> UpdateDomainSilence(const PeerTable& peers,
                                             UpstreamTable& upstreams,
                                             TimePoint now);
bool IsLive(const PeerTable& peers, const Peer& peer, TimePoint now);
// This instance and all remembered peers.
std::size_t KnownInstances(const PeerTable& peers);
std::vector<std::uint64_t> PeerHashes(const PeerTable& peers);
// One of the live peers that are furthest ahead of `revision`, those of the own
// failure domain first; null when none is. Taken at random, so that the peers of
// a new revision share the transfers.
const Peer* ChooseNewerPeer(const PeerTable& peers,
                            std::uint64_t revision,
                            std::mt19937_64& random,
                            TimePoint now);
// Whether this instance has to follow the store itself: it comes early in the
// order of its failure domain, or too few that come earlier do.
bool ShouldReadStore(const PeerTable& peers, TimePoint now);
// Number of live instances of the own failure domain that come earlier in the
// order of those that read the store.
std::size_t StoreReaderRank(const PeerTable& peers, TimePoint now);
std::vector<UpstreamLoad> OwnLoads(const UpstreamTable& upstreams);
// Reports in answers to this instance that are young enough to be used.
std::vector<ReportedLoad> OwnReports(const UpstreamTable& upstreams, TimePoint now);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_PEER_TABLE_H_
