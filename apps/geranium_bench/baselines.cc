#include "baselines.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/hash.h"

namespace geraniumspread::bench {
namespace {

using placement::PlacementState;

const std::vector<std::uint32_t>& PoolOf(const ModelFleet& fleet, const ChatRequest& request) {
  return fleet.of_pool[request.pool];
}

// Drives the placement module. Load is exact, since each owner knows its own.
// Each entry router has an exceptions table of its own; or, where the owner of a
// chat's first choice knows its exception too, every router finds it, and one
// table stands for those of all owners.
class PlacementChooser final : public Chooser {
 public:
  PlacementChooser(const FleetSpec& spec, placement::NewChatHome home, bool owners_know)
      : table_count(owners_know ? 1 : spec.routers) {
    placement::PlacementSettings settings;
    settings.new_chat_home = home;
    const auto entries =
        static_cast<std::uint32_t>(kEntriesPerRouter * spec.routers / this->table_count);
    settings.exception_entries = entries;
    this->state = MakeWarmPlacement(spec, settings, TimePoint{});
    this->tables.resize(static_cast<std::size_t>(this->table_count),
                        placement::MakeExceptionsTable(entries, TimePoint{}));
    this->domains = spec.domains;
  }

  std::uint32_t Choose(const ModelFleet& /*fleet*/,
                       const ChatRequest& request,
                       TimePoint now) override {
    placement::PlacementRequest wanted;
    wanted.pool = request.pool;
    wanted.chat = static_cast<placement::ChatKey>(MixHash(0, request.chat));
    wanted.has_history = request.turn > 0;
    wanted.entry_domain = static_cast<placement::DomainIndex>(request.router % this->domains);
    wanted.priority = request.priority;
    auto& table = this->tables[static_cast<std::size_t>(request.router % this->table_count)];
    std::swap(this->state.exceptions, table);
    const auto choice = placement::ChooseUpstream(this->state, wanted, now);
    if (choice) {
      placement::RecordPlacement(this->state, wanted, choice.value(), now);
    }
    std::swap(this->state.exceptions, table);
    return choice ? choice.value().upstream : kNoRunner;
  }

  void Finished(std::uint32_t runner, bool counts) override {
    placement::RecordCompletion(this->state, runner);
    if (counts) {
      placement::RecordSuccess(this->state, runner, this->state.cold_start[runner].epoch);
    }
  }

  void Left(const ModelFleet& /*fleet*/, std::uint32_t runner) override {
    placement::SetUpstreamState(this->state, runner, placement::UpstreamState::kLeaving);
  }

  void Joined(const ModelFleet& fleet, std::uint32_t runner) override {
    const ModelRunner& joined = fleet.runners[runner];
    AddToPlacement(this->state, runner, joined.domain, joined.pool);
  }

  void SetDomain(int domain, bool in_service, TimePoint now) override {
    placement::SetDomainInService(this->state, static_cast<placement::DomainIndex>(domain),
                                  in_service, now);
  }

  void Tick(const ModelFleet& fleet, TimePoint now) override {
    ++this->sequence;
    for (std::uint32_t runner = 0; runner < fleet.runners.size(); ++runner) {
      placement::RecordReport(this->state, runner,
                              ReportOf(fleet.runners[runner].incarnation, this->sequence), now);
    }
    placement::TickPlacement(this->state, now);
  }

 private:
  static constexpr int kEntriesPerRouter = 16384;
  int table_count;
  PlacementState state;
  std::vector<placement::ExceptionsTable> tables;
  int domains = 1;
  std::uint64_t sequence = 1;
};

class RoundRobinChooser final : public Chooser {
 public:
  explicit RoundRobinChooser(const FleetSpec& spec)
      : next(static_cast<std::size_t>(spec.pools), 0) {}

  std::uint32_t Choose(const ModelFleet& fleet,
                       const ChatRequest& request,
                       TimePoint /*now*/) override {
    const auto& pool = PoolOf(fleet, request);
    return pool[this->next[request.pool]++ % pool.size()];
  }

 private:
  std::vector<std::size_t> next;
};

class LeastOutstandingChooser final : public Chooser {
 public:
  std::uint32_t Choose(const ModelFleet& fleet,
                       const ChatRequest& request,
                       TimePoint /*now*/) override {
    const auto& pool = PoolOf(fleet, request);
    return *std::min_element(
        pool.begin(), pool.end(), [&](std::uint32_t left, std::uint32_t right) {
          return fleet.runners[left].in_flight < fleet.runners[right].in_flight;
        });
  }
};

class RendezvousChooser final : public Chooser {
 public:
  std::uint32_t Choose(const ModelFleet& fleet,
                       const ChatRequest& request,
                       TimePoint /*now*/) override {
    std::uint64_t best_hash = 0;
    std::uint32_t best = kNoRunner;
    for (const std::uint32_t runner : PoolOf(fleet, request)) {
      const std::uint64_t hash = MixHash(MixHash(1, request.chat), MixHash(2, runner));
      if (best == kNoRunner || hash > best_hash) {
        best_hash = hash;
        best = runner;
      }
    }
    return best;
  }
};

// Sends a chat to where it is cached, however loaded. Other chats go to the
// cache with the most room, or to the one whose oldest chat was used longest ago;
// within a load bound, to the runner with the least load.
class BestChooser final : public Chooser {
 public:
  explicit BestChooser(bool bounded) : keeps_bound(bounded) {}

  std::uint32_t Choose(const ModelFleet& fleet,
                       const ChatRequest& request,
                       TimePoint now) override {
    const std::int32_t bound =
        this->keeps_bound ? Bound(fleet, request) : std::numeric_limits<std::int32_t>::max();
    const auto known = this->places.find(request.chat);
    const bool cached = known != this->places.end() && fleet.runners[known->second].usable &&
                        Holds(fleet.runners[known->second].cache, request.chat) &&
                        fleet.runners[known->second].in_flight < bound;
    const std::uint32_t runner = cached ? known->second : this->Roomiest(fleet, request);
    this->places[request.chat] = runner;
    this->used[request.chat] = now;
    return runner;
  }

 private:
  // Sorts caches with room before full ones, and then by age of the oldest chat.
  TimePoint OldestUse(const ModelRunner& runner) const {
    const bool room = runner.cache.order.size() < runner.cache.capacity;
    if (room) {
      return TimePoint::min() + Duration(runner.cache.order.size());
    }
    return this->used.at(runner.cache.order.back());
  }

  // The load bound over warm and cold runners alike.
  static std::int32_t Bound(const ModelFleet& fleet, const ChatRequest& request) {
    const auto& pool = PoolOf(fleet, request);
    std::int64_t sum = 1;
    for (const std::uint32_t runner : pool) {
      sum += fleet.runners[runner].in_flight;
    }
    const double mean = static_cast<double>(sum) / static_cast<double>(pool.size());
    const double bound = std::ceil(placement::PlacementSettings{}.bound_multiple * mean);
    return std::max(1, static_cast<std::int32_t>(bound));
  }

  // With a bound, chats that are cached nowhere even out the load.
  std::uint32_t Roomiest(const ModelFleet& fleet, const ChatRequest& request) const {
    const auto& pool = PoolOf(fleet, request);
    return *std::min_element(pool.begin(), pool.end(),
                             [&](std::uint32_t left, std::uint32_t right) {
                               const ModelRunner& first = fleet.runners[left];
                               const ModelRunner& second = fleet.runners[right];
                               if (this->keeps_bound && first.in_flight != second.in_flight) {
                                 return first.in_flight < second.in_flight;
                               }
                               return this->OldestUse(first) < this->OldestUse(second);
                             });
  }

  bool keeps_bound;
  std::unordered_map<std::uint32_t, std::uint32_t> places;
  std::unordered_map<std::uint32_t, TimePoint> used;
};

}  // namespace

std::string NameOf(ChooserKind kind) {
  switch (kind) {
    case ChooserKind::kPlacement:
      return "placement";
    case ChooserKind::kPlacementChatHash:
      return "placement, new chats by hash";
    case ChooserKind::kPlacementEntryOnly:
      return "placement, exceptions at entry only";
    case ChooserKind::kRoundRobin:
      return "round robin";
    case ChooserKind::kLeastOutstanding:
      return "least outstanding";
    case ChooserKind::kRendezvous:
      return "plain rendezvous";
    case ChooserKind::kBestInBound:
      return "best within the bound";
    case ChooserKind::kBest:
      return "best possible";
  }
  return "";
}

std::unique_ptr<Chooser> MakeChooser(ChooserKind kind, const FleetSpec& spec) {
  switch (kind) {
    case ChooserKind::kPlacement:
      return std::make_unique<PlacementChooser>(spec, placement::NewChatHome::kEntryDomain, true);
    case ChooserKind::kPlacementChatHash:
      return std::make_unique<PlacementChooser>(spec, placement::NewChatHome::kChatHash, true);
    case ChooserKind::kPlacementEntryOnly:
      return std::make_unique<PlacementChooser>(spec, placement::NewChatHome::kEntryDomain, false);
    case ChooserKind::kRoundRobin:
      return std::make_unique<RoundRobinChooser>(spec);
    case ChooserKind::kLeastOutstanding:
      return std::make_unique<LeastOutstandingChooser>();
    case ChooserKind::kRendezvous:
      return std::make_unique<RendezvousChooser>();
    case ChooserKind::kBestInBound:
      return std::make_unique<BestChooser>(true);
    case ChooserKind::kBest:
      return std::make_unique<BestChooser>(false);
  }
  return nullptr;
}

}  // namespace geraniumspread::bench
