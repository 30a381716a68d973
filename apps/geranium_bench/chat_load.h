#ifndef APPS_GERANIUM_BENCH_CHAT_LOAD_H_
#define APPS_GERANIUM_BENCH_CHAT_LOAD_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "common/common_types.h"
#include "fleet.h"

namespace geraniumspread::bench {

// One turn of a chat.
struct ChatRequest {
  TimePoint at;
  Duration length{};
  std::uint32_t chat = 0;
  std::uint16_t turn = 0;
  std::uint16_t router = 0;  // entry router, by the load balancer
  std::uint16_t pool = 0;
  PriorityClass priority = PriorityClass::kDraft;
};

struct LoadSpec {
  Duration span = std::chrono::minutes(30);
  // The peak of 4,600 requests/s over 2,900 runners.
  double requests_per_runner_second = 4600.0 / 2900.0;
  double mean_turns = 6.0;
  // 1.6 M tokens/s over 4,600 requests/s are 348 tokens, at about 50 ms each.
  Duration mean_length = std::chrono::seconds(17);
  // Pauses between turns are log-normal: most within minutes, some after hours.
  Duration median_pause = std::chrono::seconds(60);
  double pause_sigma = 1.3;
};

// Requests in the order of time. Chats that began before the span are in it
// with their later turns.
std::vector<ChatRequest> MakeLoad(const FleetSpec& fleet, const LoadSpec& load, std::uint64_t seed);

}  // namespace geraniumspread::bench

#endif  // APPS_GERANIUM_BENCH_CHAT_LOAD_H_
