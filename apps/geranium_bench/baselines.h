#ifndef APPS_GERANIUM_BENCH_BASELINES_H_
#define APPS_GERANIUM_BENCH_BASELINES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "chat_load.h"
#include "fleet.h"

namespace geraniumspread::bench {

inline constexpr std::uint32_t kNoRunner = 0xffffffffU;

// One way of choosing a runner for a request. All see the exact load.
class Chooser {
 public:
  Chooser() = default;
  Chooser(const Chooser&) = delete;
  Chooser& operator=(const Chooser&) = delete;
  virtual ~Chooser() = default;

  // Returns kNoRunner when the request is refused.
  virtual std::uint32_t Choose(const ModelFleet& fleet,
                               const ChatRequest& request,
                               TimePoint now) = 0;
  // `counts` says that the request began in the runner's present incarnation.
  virtual void Finished(std::uint32_t /*runner*/, bool /*counts*/) {}
  virtual void Left(const ModelFleet& /*fleet*/, std::uint32_t /*runner*/) {}
  virtual void Joined(const ModelFleet& /*fleet*/, std::uint32_t /*runner*/) {}
  virtual void SetDomain(int /*domain*/, bool /*in_service*/, TimePoint /*now*/) {}
  virtual void Tick(const ModelFleet& /*fleet*/, TimePoint /*now*/) {}
};

enum class ChooserKind : std::uint8_t {
  kPlacement,           // this project, exceptions also at the owner of the first choice
  kPlacementChatHash,   // the same, new chats at the domain of their hash
  kPlacementEntryOnly,  // this project, exceptions only at the entry router
  kRoundRobin,
  kLeastOutstanding,
  kRendezvous,   // plain rendezvous hashing on the chat
  kBestInBound,  // knows every cache, keeps the load bound
  kBest,         // knows every cache, has no load limits: the best reuse possible
};
inline constexpr ChooserKind kAllChoosers[] = {
    ChooserKind::kPlacement,          ChooserKind::kPlacementChatHash,
    ChooserKind::kPlacementEntryOnly, ChooserKind::kRoundRobin,
    ChooserKind::kLeastOutstanding,   ChooserKind::kRendezvous,
    ChooserKind::kBestInBound,        ChooserKind::kBest};

std::string NameOf(ChooserKind kind);
std::unique_ptr<Chooser> MakeChooser(ChooserKind kind, const FleetSpec& spec);

}  // namespace geraniumspread::bench

#endif  // APPS_GERANIUM_BENCH_BASELINES_H_
