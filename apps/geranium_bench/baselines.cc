#include "baselines.h"

#include <algorithm>

#include "common/hash.h"

namespace geraniumspread::bench {
namespace {

using placement::PlacementState;

const std::vector<std::uint32_t>& PoolOf(const ModelFleet& fleet, const ChatRequest& request) {
  return fleet.of_pool[request.pool];
}

// Drives the placement module. Load is exact, since each owner knows its own;
// each entry router has an exceptions table of its own.
class PlacementChooser final : public Chooser {
 public:
  PlacementChooser(const FleetSpec& spec, placement::NewChatHome home) {
    placement::PlacementSettings settings;
    settings.new_chat_home = home;
    settings.exception_entries = kEntriesPerRouter;
    this->state = MakeWarmPlacement(spec, settings, TimePoint{});
    this->tables.resize(static_cast<std::size_t>(spec.routers),
                        placement::MakeExceptionsTable(kEntriesPerRouter, TimePoint{}));
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
    std::swap(this->state.exceptions, this->tables[request.router]);
    const auto choice = placement::ChooseUpstream(this->state, wanted, now);
    if (choice) {
      placement::NotePlaced(this->state, wanted, choice.value(), now);
    }
    std::swap(this->state.exceptions, this->tables[request.router]);
    return choice ? choice.value().upstream : kNoRunner;
  }

  void Finished(std::uint32_t runner, bool counts) override {
    placement::NoteFinished(this->state, runner);
    if (counts) {
      placement::NoteSuccess(this->state, runner, this->state.cold_start[runner].epoch);
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
      placement::NoteReport(this->state, runner,
                            ReportOf(fleet.runners[runner].incarnation, this->sequence), now);
    }
    placement::TickPlacement(this->state, now);
  }

 private:
  static constexpr std::uint32_t kEntriesPerRouter = 16384;
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
// cache with the most room, or to the one whose oldest chat was used longest ago.
class BestChooser final : public Chooser {
 public:
  std::uint32_t Choose(const ModelFleet& fleet,
                       const ChatRequest& request,
                       TimePoint now) override {
    const auto known = this->places.find(request.chat);
    const bool cached = known != this->places.end() && fleet.runners[known->second].usable &&
                        Holds(fleet.runners[known->second].cache, request.chat);
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

  std::uint32_t Roomiest(const ModelFleet& fleet, const ChatRequest& request) const {
    const auto& pool = PoolOf(fleet, request);
    return *std::min_element(
        pool.begin(), pool.end(), [&](std::uint32_t left, std::uint32_t right) {
          return this->OldestUse(fleet.runners[left]) < this->OldestUse(fleet.runners[right]);
        });
  }

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
    case ChooserKind::kRoundRobin:
      return "round robin";
    case ChooserKind::kLeastOutstanding:
      return "least outstanding";
    case ChooserKind::kRendezvous:
      return "plain rendezvous";
    case ChooserKind::kBest:
      return "best possible";
  }
  return "";
}

std::unique_ptr<Chooser> MakeChooser(ChooserKind kind, const FleetSpec& spec) {
  switch (kind) {
    case ChooserKind::kPlacement:
      return std::make_unique<PlacementChooser>(spec, placement::NewChatHome::kEntryDomain);
    case ChooserKind::kPlacementChatHash:
      return std::make_unique<PlacementChooser>(spec, placement::NewChatHome::kChatHash);
    case ChooserKind::kRoundRobin:
      return std::make_unique<RoundRobinChooser>(spec);
    case ChooserKind::kLeastOutstanding:
      return std::make_unique<LeastOutstandingChooser>();
    case ChooserKind::kRendezvous:
      return std::make_unique<RendezvousChooser>();
    case ChooserKind::kBest:
      return std::make_unique<BestChooser>();
  }
  return nullptr;
}

}  // namespace geraniumspread::bench
