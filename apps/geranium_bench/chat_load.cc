#include "chat_load.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace geraniumspread::bench {
namespace {

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

PriorityClass DrawPriority(std::mt19937_64& random) {
  // Mostly single drafts and suggestions; a tenth each of lookups and batch.
  static constexpr PriorityClass kMix[] = {PriorityClass::kSuggestion, PriorityClass::kSuggestion,
                                           PriorityClass::kSuggestion, PriorityClass::kLookup,
                                           PriorityClass::kDraft,      PriorityClass::kDraft,
                                           PriorityClass::kDraft,      PriorityClass::kDraft,
                                           PriorityClass::kDraft,      PriorityClass::kBatch};
  return kMix[random() % std::size(kMix)];
}

}  // namespace

std::vector<ChatRequest> MakeLoad(const FleetSpec& fleet,
                                  const LoadSpec& load,
                                  std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const double span = InSeconds(load.span);
  const double rate = load.requests_per_runner_second * fleet.runners;
  // Chats start early enough for the pauses of most of them to be in a steady state.
  const double lead = 2 * span;
  const auto chats = static_cast<std::uint32_t>(rate * (span + lead) / load.mean_turns);
  std::uniform_real_distribution<double> start(-lead, span);
  std::geometric_distribution<int> more_turns(1.0 / load.mean_turns);
  std::lognormal_distribution<double> pause(std::log(InSeconds(load.median_pause)),
                                            load.pause_sigma);
  std::exponential_distribution<double> length(1.0 / InSeconds(load.mean_length));
  std::vector<ChatRequest> requests;
  requests.reserve(static_cast<std::size_t>(rate * span * 1.1));
  for (std::uint32_t chat = 0; chat < chats; ++chat) {
    const int turns = 1 + more_turns(random);
    const auto pool = static_cast<std::uint16_t>(random() % static_cast<unsigned>(fleet.pools));
    double at = start(random);
    for (int turn = 0; turn < turns && at < span; ++turn) {
      const double lasts = length(random);
      if (at >= 0) {
        const auto router = random() % static_cast<unsigned>(fleet.routers);
        requests.push_back({TimePoint{} + Seconds(at), Seconds(lasts), chat,
                            static_cast<std::uint16_t>(turn), static_cast<std::uint16_t>(router),
                            pool, DrawPriority(random)});
      }
      at += lasts + pause(random);
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const ChatRequest& left, const ChatRequest& right) {
              return std::tie(left.at, left.chat) < std::tie(right.at, right.chat);
            });
  return requests;
}

}  // namespace geraniumspread::bench
