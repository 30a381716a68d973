#ifndef LOAD_WORKLOAD_H_
#define LOAD_WORKLOAD_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "common/common_types.h"
#include "common/runtime_clock.h"
#include "standin/answer_text.h"

// The seeded work that geranium_load offers.
namespace geraniumspread::load {

enum class WorkKind : std::uint8_t { kDraft, kStream, kBatch, kLookup, kOrder };
inline constexpr std::size_t kWorkKindCount = 5;

// "draft", "stream", "batch", "lookup", "order".
std::string_view ToString(WorkKind kind);
// The priority class of the requests of a kind.
PriorityClass PriorityOf(WorkKind kind);

// Limits of a workspace over the whole fleet.
struct WorkspaceRate {
  double requests_per_second = 0;
  std::size_t max_concurrent = 0;
};

struct WorkloadSettings {
  double rate = 50;  // arrivals a second over all workspaces, without the surge
  Duration duration = std::chrono::seconds(30);
  std::uint64_t seed = 1;
  std::string run_tag;  // keeps the ids of chats and requests of several runs apart
  std::array<double, kWorkKindCount> mix{30, 40, 10, 15, 5};  // weights in order of WorkKind
  std::vector<std::string> workspaces;
  // In the same order; empty when the limits aren't known.
  std::vector<WorkspaceRate> limits;
  // The first `surging` workspaces offer `surge_factor` times their usual rate
  // in the middle third of the run.
  std::size_t surging = 0;
  double surge_factor = 4;
  Duration pause = std::chrono::seconds(2);  // least time before a chat returns
  double new_chat_share = 0.1;
  int message_words = 40;
  int answer_tokens = 32;
  int max_prompt_tokens = 2000;  // a longer chat ends
  double repeat_share = 0.2;     // orders that are sent again through another router
};

struct Arrival {
  Duration at{0};  // from the start of the run
  WorkKind kind = WorkKind::kDraft;
  std::size_t workspace = 0;
  std::uint64_t seed = 0;  // for the contents of the request
  // Whether the workspace was within its limits when the request was sent.
  bool within_limits = false;
};

// Poisson arrivals, the same for the same settings.
class ArrivalPlan {
 public:
  explicit ArrivalPlan(const WorkloadSettings& workload_settings);
  // Empty after the duration.
  std::optional<Arrival> Next();

 private:
  double WorkspaceWeight(std::size_t workspace, bool surge) const;

  const WorkloadSettings& settings;
  std::mt19937_64 random;
  std::chrono::duration<double> at{0};
};

struct Chat {
  std::string id;
  std::vector<standin::ChatMessage> messages;
  std::size_t seen_tokens = 0;  // prompt and answer of the last turn
  bool busy = false;
  TimePoint last_used;
};

// The open chats of one workspace.
class ChatTable {
 public:
  // A chat that may return now, or a new one. It is busy until it is put back.
  std::shared_ptr<Chat> Take(const WorkloadSettings& settings,
                             const Arrival& arrival,
                             TimePoint now);
  // Ends the chat once it is too long.
  void PutBack(const WorkloadSettings& settings, const std::shared_ptr<Chat>& chat, TimePoint now);

 private:
  std::vector<std::shared_ptr<Chat>> chats;
};

// `count` words that depend only on the seed.
std::string MakeWords(std::uint64_t seed, int count);

}  // namespace geraniumspread::load

#endif  // LOAD_WORKLOAD_H_
