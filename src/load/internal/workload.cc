#include "load/workload.h"

#include <algorithm>
#include <numeric>

#include "common/hash.h"

namespace geraniumspread::load {

std::string_view ToString(WorkKind kind) {
  constexpr std::array<std::string_view, kWorkKindCount> kNames{"draft", "stream", "batch",
                                                                "lookup", "order"};
  return kNames.at(static_cast<std::size_t>(kind));
}

PriorityClass PriorityOf(WorkKind kind) {
  switch (kind) {
    case WorkKind::kStream:
      return PriorityClass::kSuggestion;
    case WorkKind::kLookup:
      return PriorityClass::kLookup;
    case WorkKind::kBatch:
      return PriorityClass::kBatch;
    case WorkKind::kDraft:
    case WorkKind::kOrder:
      return PriorityClass::kDraft;
  }
  return PriorityClass::kDraft;
}

ArrivalPlan::ArrivalPlan(const WorkloadSettings& workload_settings)
    : settings(workload_settings), random(workload_settings.seed) {}

double ArrivalPlan::WorkspaceWeight(std::size_t workspace, bool surge) const {
  return surge && workspace < this->settings.surging ? this->settings.surge_factor : 1.0;
}

std::optional<Arrival> ArrivalPlan::Next() {
  const std::chrono::duration<double> duration = this->settings.duration;
  const bool surge = this->at >= duration / 3 && this->at < duration * 2 / 3;
  std::vector<double> weights;
  weights.reserve(this->settings.workspaces.size());
  for (std::size_t index = 0; index < this->settings.workspaces.size(); ++index) {
    weights.push_back(this->WorkspaceWeight(index, surge));
  }
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  const double rate = this->settings.rate * total / static_cast<double>(weights.size());
  this->at += std::chrono::duration<double>(std::exponential_distribution<>(rate)(this->random));
  if (this->at >= duration) {
    return std::nullopt;
  }
  Arrival arrival;
  arrival.at = std::chrono::duration_cast<Duration>(this->at);
  std::discrete_distribution<std::size_t> pick_workspace(weights.begin(), weights.end());
  arrival.workspace = pick_workspace(this->random);
  std::discrete_distribution<int> pick_kind(this->settings.mix.begin(), this->settings.mix.end());
  arrival.kind = static_cast<WorkKind>(pick_kind(this->random));
  arrival.seed = this->random();
  return arrival;
}

std::shared_ptr<Chat> ChatTable::Take(const WorkloadSettings& settings,
                                      const Arrival& arrival,
                                      TimePoint now) {
  std::mt19937_64 random(arrival.seed);
  std::vector<std::shared_ptr<Chat>> ready;
  std::ranges::copy_if(this->chats, std::back_inserter(ready),
                       [&](const std::shared_ptr<Chat>& chat) {
                         return !chat->busy && now - chat->last_used >= settings.pause;
                       });
  const bool wants_new = std::uniform_real_distribution<>(0, 1)(random) < settings.new_chat_share;
  std::shared_ptr<Chat> chat;
  if (ready.empty() || wants_new) {
    chat = std::make_shared<Chat>();
    chat->id = settings.run_tag + "-chat-" + std::to_string(arrival.seed);
    this->chats.push_back(chat);
  } else {
    chat = ready[random() % ready.size()];
  }
  chat->busy = true;
  return chat;
}

void ChatTable::PutBack(const WorkloadSettings& settings,
                        const std::shared_ptr<Chat>& chat,
                        TimePoint now) {
  chat->busy = false;
  chat->last_used = now;
  if (chat->seen_tokens > static_cast<std::size_t>(settings.max_prompt_tokens)) {
    std::erase(this->chats, chat);
  }
}

std::string MakeWords(std::uint64_t seed, int count) {
  constexpr std::uint64_t kWordCount = 5000;
  std::mt19937_64 random(seed);
  std::string words;
  for (int index = 0; index < count; ++index) {
    words += index > 0 ? " v" : "v";
    words += std::to_string(random() % kWordCount);
  }
  return words;
}

}  // namespace geraniumspread::load
