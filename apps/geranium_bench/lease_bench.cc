#include <malloc.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <random>

#include "benches.h"
#include "ownership/ownership.h"

namespace geraniumspread::bench {
namespace {

using namespace ownership;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Bytes of a control frame beside its payload: length, instance id (16),
// incarnation, sequence number and MAC.
constexpr std::size_t kFrameBytes = 4 + 16 + 8 + 8 + 16;
constexpr Duration kStep = milliseconds(50);

std::string KeyText(std::uint64_t key) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(key));
  return text;
}

template <typename Keys>
boost::json::array KeyArray(const Keys& keys) {
  boost::json::array array;
  for (const auto key : keys) {
    array.emplace_back(KeyText(static_cast<std::uint64_t>(key)));
  }
  return array;
}

std::size_t FrameSize(const char* method, boost::json::object params) {
  params["v"] = 1;
  const boost::json::object message{
      {"jsonrpc", "2.0"}, {"method", method}, {"params", std::move(params)}};
  return boost::json::serialize(message).size() + kFrameBytes;
}

std::size_t SizeOf(const LeaseRequest& request) {
  return FrameSize("lease_request", {{"number", request.number},
                                     {"acknowledged", request.acknowledged},
                                     {"members", request.member_count},
                                     {"divisor", request.reserve_divisor},
                                     {"reserve_in_use", request.reserve_in_use},
                                     {"views", KeyArray(request.views)},
                                     {"upstreams", KeyArray(request.upstreams)}});
}

std::size_t SizeOf(const LeaseReply& reply) {
  boost::json::array silent;
  for (const ReserveInfo& info : reply.reserve_users) {
    silent.push_back(
        boost::json::array{KeyText(static_cast<std::uint64_t>(info.router)), info.divisor});
  }
  boost::json::array missing;
  for (const auto& view : reply.missing_views) {
    missing.push_back(KeyArray(view));
  }
  return FrameSize(
      "lease_reply",
      {{"number", reply.number},
       {"view", KeyText(reply.view)},
       {"granted", KeyArray(reply.granted)},
       {"refused", KeyArray(reply.refused)},
       {"accounted_ms", std::chrono::duration_cast<milliseconds>(reply.no_reserve_for).count()},
       {"silent", silent},
       {"complete", reply.records_complete},
       {"missing_views", missing}});
}

// Routers of one failure domain that exchange messages without delay or loss.
struct Domain {
  std::vector<OwnershipState> routers;
  std::vector<DomainUpstream> upstreams;
  std::vector<std::size_t> bytes;  // sent and received, by router
  TimePoint now;
};

std::size_t IndexOf(const Domain& domain, RouterKey key) {
  std::size_t index = 0;
  while (domain.routers[index].self != key) {
    ++index;
  }
  return index;
}

Domain MakeDomain(std::size_t routers, std::size_t upstreams, const OwnershipSettings& settings) {
  Domain domain;
  std::vector<RouterKey> members;
  members.reserve(routers);
  for (std::size_t router = 0; router < routers; ++router) {
    members.push_back(MakeRouterKey("router-" + std::to_string(router)));
  }
  domain.upstreams.reserve(upstreams);
  for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
    domain.upstreams.push_back({.upstream = MakeUpstreamKey("runner-" + std::to_string(upstream))});
  }
  for (const RouterKey member : members) {
    OwnershipState& state =
        domain.routers.emplace_back(MakeOwnershipState(settings, member, 1, domain.now));
    SetUpstreams(state, domain.upstreams, domain.now);
    SetMembers(state, members, members, domain.now);
  }
  domain.bytes.assign(routers, 0);
  return domain;
}

void Account(Domain& domain, std::size_t from, std::size_t to, std::size_t bytes) {
  domain.bytes[from] += bytes;
  domain.bytes[to] += bytes;
}

void StepRouter(Domain& domain, std::size_t from) {
  OwnershipOutbox outbox;
  OwnershipState& sender = domain.routers[from];
  TickOwnership(sender, domain.now, outbox);
  for (const OutgoingRequest& request : outbox.requests) {
    const std::size_t to = IndexOf(domain, request.to);
    Account(domain, from, to, SizeOf(request.message));
    const auto reply =
        HandleLeaseRequest(domain.routers[to], sender.self, request.message, domain.now);
    if (reply) {
      Account(domain, to, from, SizeOf(*reply));
      HandleLeaseReply(sender, domain.routers[to].self, *reply, domain.now);
    }
  }
}

void RunDomain(Domain& domain, Duration span) {
  for (const TimePoint end = domain.now + span; domain.now < end;) {
    domain.now += kStep;
    for (std::size_t router = 0; router < domain.routers.size(); ++router) {
      StepRouter(domain, router);
    }
  }
}

// A few domains of equal size; the largest one is measured.
struct LeaseFleet {
  std::size_t nodes;
  std::size_t domains;
  std::size_t runners;
  Duration term;
};

void AddLeaseRow(Table& table, const LeaseFleet& fleet) {
  const std::size_t routers = (fleet.nodes + fleet.domains - 1) / fleet.domains;
  const std::size_t upstreams = (fleet.runners + fleet.domains - 1) / fleet.domains;
  OwnershipSettings settings;
  settings.lease_term = fleet.term;
  const std::size_t before = mallinfo2().uordblks;
  Domain domain = MakeDomain(routers, upstreams, settings);
  RunDomain(domain, seconds(60));
  const std::size_t state_bytes = (mallinfo2().uordblks - before) / routers;
  domain.bytes.assign(routers, 0);
  constexpr Duration kMeasured = seconds(60);
  RunDomain(domain, kMeasured);
  const double span = std::chrono::duration<double>(kMeasured).count();
  double sum = 0.0;
  for (const std::size_t bytes : domain.bytes) {
    sum += static_cast<double>(bytes);
  }
  const std::size_t highest = *std::max_element(domain.bytes.begin(), domain.bytes.end());
  table.rows.push_back(
      {std::to_string(fleet.nodes), std::to_string(routers), std::to_string(upstreams),
       Whole(std::chrono::duration<double>(fleet.term).count()),
       Whole(sum / static_cast<double>(routers) / span), Whole(static_cast<double>(highest) / span),
       Fixed(static_cast<double>(state_bytes) / 1024, 1)});
}

// --- Schemes that keep a cold upstream within its limit ---

constexpr std::size_t kRouters = 8;
constexpr std::int32_t kLimit = 2;
constexpr int kRequests = 4000;
// Requests arrive at random routers, on average this far apart, and run for kRequestTime.
constexpr Duration kArrival = milliseconds(150);
constexpr Duration kRequestTime = milliseconds(1000);

struct SchemeResult {
  std::int32_t peak = 0;
  int served = 0;
  int forwarded = 0;
};

struct Running {
  std::size_t router;
  TimePoint ends;
};

// Runs requests under a rule that says whether a router may start one more.
// `local(router)` is the number that this router runs already.
template <typename May>
SchemeResult RunScheme(std::uint64_t seed, bool forwards, May may) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(1.0 / std::chrono::duration<double>(kArrival).count());
  std::vector<Running> running;
  SchemeResult result;
  TimePoint now{};
  for (int index = 0; index < kRequests; ++index) {
    now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
    std::erase_if(running, [now](const Running& request) { return request.ends <= now; });
    const std::size_t entry = random() % kRouters;
    // With two hops all requests are started by one owner.
    const std::size_t starter = forwards ? 0 : entry;
    const auto local =
        std::count_if(running.begin(), running.end(),
                      [starter](const Running& request) { return request.router == starter; });
    if (!may(starter, static_cast<std::int32_t>(local), now)) {
      continue;
    }
    running.push_back({starter, now + kRequestTime});
    result.peak = std::max(result.peak, static_cast<std::int32_t>(running.size()));
    ++result.served;
    result.forwarded += starter == entry ? 0 : 1;
  }
  return result;
}

void AddSchemeRow(Table& table, const std::string& name, const SchemeResult& result) {
  table.rows.push_back({name, std::to_string(result.peak),
                        std::to_string(std::max(0, result.peak - kLimit)),
                        Fixed(100.0 * result.served / kRequests, 1),
                        Fixed(100.0 * result.forwarded / std::max(1, result.served), 1)});
}

// Two hops through the lease of the ownership module.
SchemeResult RunOwnershipScheme(std::uint64_t seed) {
  Domain domain = MakeDomain(kRouters, 1, OwnershipSettings{});
  RunDomain(domain, seconds(12));
  const UpstreamKey upstream = domain.upstreams.front().upstream;
  const TimePoint offset = domain.now;
  return RunScheme(seed, true, [&](std::size_t, std::int32_t local, TimePoint now) {
    if (offset + (now - TimePoint{}) > domain.now) {
      RunDomain(domain, offset + (now - TimePoint{}) - domain.now);
    }
    std::int32_t allowed = 0;
    for (OwnershipState& state : domain.routers) {
      const TimePoint asked_at = domain.now;
      RecordReportRequest(state, upstream);
      RecordLoadReport(state, upstream, asked_at, 0, domain.now);
      allowed += AllowedInFlight(state, upstream, kLimit, domain.now).limit;
    }
    return local < allowed;
  });
}

}  // namespace

Table MeasureLeaseBytes() {
  Table table;
  table.title = "Lease control traffic (sent and received, JSON with frames)";
  table.columns = {"nodes",          "routers of the domain", "upstreams of the domain", "term s",
                   "bytes/s a node", "busiest node",          "ownership state KiB"};
  for (const LeaseFleet& fleet :
       {LeaseFleet{6, 3, 12, seconds(3)}, LeaseFleet{8, 3, 20, seconds(3)},
        LeaseFleet{64, 8, 453, seconds(10)}, LeaseFleet{104, 8, 736, seconds(10)},
        LeaseFleet{208, 8, 1471, seconds(10)}, LeaseFleet{410, 8, 2900, seconds(10)}}) {
    AddLeaseRow(table, fleet);
  }
  return table;
}

Table MeasureColdLimitSchemes(std::uint64_t seed) {
  Table table;
  table.title = "A cold upstream with limit 2 and 8 routers";
  table.columns = {"scheme", "peak in flight", "overshoot", "served %", "forwarded %"};
  AddSchemeRow(table, "local bound: the whole limit at each router",
               RunScheme(seed, false, [](std::size_t, std::int32_t local, TimePoint) {
                 return local < kLimit;
               }));
  AddSchemeRow(table, "local bound: a share of the limit, at least 1",
               RunScheme(seed, false, [](std::size_t, std::int32_t local, TimePoint) {
                 return local < std::max<std::int32_t>(1, kLimit / static_cast<int>(kRouters));
               }));
  AddSchemeRow(table, "local bound: a share of the limit, rounded down",
               RunScheme(seed, false, [](std::size_t, std::int32_t local, TimePoint) {
                 return local < kLimit / static_cast<std::int32_t>(kRouters);
               }));
  AddSchemeRow(table, "credit leases: 2 credits that change hands each second",
               RunScheme(seed, false, [](std::size_t router, std::int32_t local, TimePoint now) {
                 // A credit is in use until its last request has ended, so that a
                 // turn lasts one request time.
                 const auto turn = static_cast<std::size_t>((now - TimePoint{}) / kRequestTime);
                 const std::size_t first = turn / 2 * 2 % kRouters;
                 const bool idle = turn % 2 == 1;
                 return !idle && (router == first || router == first + 1) && local < 1;
               }));
  AddSchemeRow(table, "ownership: one lease, two hops", RunOwnershipScheme(seed));
  return table;
}

}  // namespace geraniumspread::bench
