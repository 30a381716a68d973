#ifndef ENGINES_ENGINES_TYPES_H_
#define ENGINES_ENGINES_TYPES_H_

#include <boost/outcome/result.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Reports of model engines and commands to them. Deterministic: no sockets, threads
// or clocks.
namespace geraniumspread::engines {

enum class EnginesErrorCode : std::uint8_t {
  kTooLarge,          // body or list above its limit
  kMalformed,         // not JSON
  kInvalidField,      // a field is missing, has a wrong type or is out of range
  kUnknownUpstream,   // not in the table
  kStaleIncarnation,  // report from an older incarnation than the known one
  kStaleSequence,     // report or events that were already applied
  kFenceOverflow,     // version or lease sequence does not fit into the fencing token
};

struct EnginesError {
  EnginesErrorCode code;
  std::string message;
};

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, EnginesError>;

std::string_view ToString(EnginesErrorCode code);

// Engine state that a command requests and that a load report contains.
struct EngineState {
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;

  bool operator==(const EngineState&) const = default;
};

// Body of GET /load.
struct LoadReport {
  std::string instance;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  EngineState state;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;
  std::uint32_t cold_limit = 0;
  bool cold = true;
  std::uint64_t cache_blocks = 0;
  std::uint64_t cache_capacity = 0;
  std::chrono::duration<double, std::milli> first_token{0};
};

enum class CacheEventKind : std::uint8_t { kStored, kEvicted };

struct CacheEvent {
  std::uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::string chat;
};

// Body of GET /cache_events. Sequences increase; `first_sequence` is the oldest event
// that the engine still holds.
struct CacheEventBatch {
  std::uint64_t incarnation = 0;
  std::uint64_t first_sequence = 0;
  std::vector<CacheEvent> events;
};

}  // namespace geraniumspread::engines

#endif  // ENGINES_ENGINES_TYPES_H_
