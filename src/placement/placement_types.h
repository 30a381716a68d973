#ifndef PLACEMENT_PLACEMENT_TYPES_H_
#define PLACEMENT_PLACEMENT_TYPES_H_

#include <array>
#include <boost/outcome/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/common_types.h"
#include "common/runtime_clock.h"
#include "placement/cold_start.h"

// Value types for choosing the upstream of a request.
namespace geraniumspread::placement {

// Dense indexes into the tables of PlacementState.
using UpstreamIndex = std::uint32_t;
using PoolIndex = std::uint16_t;
using DomainIndex = std::uint16_t;
inline constexpr UpstreamIndex kNoUpstream = 0xffffffffU;
inline constexpr PoolIndex kNoPool = 0xffffU;
inline constexpr DomainIndex kNoDomain = 0xffffU;

// Identifies a chat of a workspace.
enum class ChatKey : std::uint64_t {};
ChatKey MakeChatKey(std::string_view workspace, std::string_view chat);

// Home domain of a chat without history, in which it is placed first.
enum class NewChatHome : std::uint8_t {
  kEntryDomain,  // the failure domain of the entry router
  kChatHash,     // the same domain as later turns of the chat
};

struct PlacementSettings {
  // Maximum load of one upstream as a multiple of the mean load.
  double bound_multiple = 1.25;
  // The same for chats without history, which have no cached prompt to lose. The lower bound
  // sends new chats to other upstreams earlier, which leaves room for returning chats.
  double new_chat_multiple = 1.1;
  // How long an upstream is not chosen again after its owner refused a request.
  Duration refusal_hold = std::chrono::milliseconds(200);
  // Time over which the chats of a domain return to it once it is back in service.
  Duration return_ramp = std::chrono::seconds(30);
  // How long a chat stays with the upstream that the exceptions table names.
  Duration exception_hold = std::chrono::minutes(10);
  // Rounded up to a power of two; 16 bytes per entry.
  std::uint32_t exception_entries = 65536;
  NewChatHome new_chat_home = NewChatHome::kEntryDomain;
  // Share of an upstream's limit up to which requests of each priority class may
  // spill to it from another home domain. Less urgent work waits in its home domain, which
  // leaves the spare capacity of other domains to urgent work.
  std::array<double, kPriorityClassCount> spill_share = {1.0, 1.0, 0.9, 0.5};
  ColdStartSettings cold_start;
};

// Safety rules that tests switch off one by one; production code leaves all of them on.
struct PlacementPolicy {
  bool load_bound = true;
  bool ramped_return = true;
  bool remember_refusals = true;
  ColdStartPolicy cold_start;
};

struct UpstreamInfo {
  std::string_view name;
  std::string_view pool;
  std::string_view domain;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::int32_t capacity = 1;  // requests in flight; also the weight of the choice
};

enum class UpstreamState : std::uint8_t { kLive, kLeaving, kGone };

struct PlacementRequest {
  PoolIndex pool = kNoPool;
  ChatKey chat{};
  bool has_history = true;
  DomainIndex entry_domain = kNoDomain;
  PriorityClass priority = PriorityClass::kDraft;
};

enum class ChoiceKind : std::uint8_t {
  kFirstChoice,   // the highest-ranked upstream of the home domain
  kException,     // the upstream that the exceptions table names
  kHomeOverflow,  // another upstream of the home domain
  kSpill,         // an upstream of another domain
};

struct PlacementChoice {
  UpstreamIndex upstream = kNoUpstream;
  UpstreamIndex first_choice = kNoUpstream;
  DomainIndex home = kNoDomain;
  ChoiceKind kind = ChoiceKind::kFirstChoice;
  std::uint32_t cold_epoch = 0;  // pass to RecordSuccess
};

enum class PlacementErrorCode : std::uint8_t {
  kUnknownPool,
  kNoUsableUpstream,  // none is listed and in service
  kAllAtLimit,
  kUnknownUpstream,
};
struct PlacementError {
  PlacementErrorCode code = PlacementErrorCode::kUnknownPool;
  std::string_view message;  // static text
};
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, PlacementError>;

// Result of checking one candidate for a request.
enum class Verdict : std::uint8_t {
  kChosen,
  kAvailable,  // not needed, a better-ranked one was chosen
  kAtLimit,    // own requests in flight reach the capacity or the load bound
  kAtColdLimit,
  kRefused,             // its owner refused within refusal_hold
  kSpillRefused,        // in another domain and too busy for this priority class
  kDomainOutOfService,  // operators took its failure domain out of service
  kDomainReturning,     // its domain is returning and the ramp does not admit the chat yet
  kLeaving,
};
std::string_view ToString(Verdict verdict);
std::string_view ToString(ChoiceKind kind);

struct CandidateExplanation {
  UpstreamIndex upstream = kNoUpstream;
  std::string name;
  std::string domain;
  double score = 0.0;
  std::int32_t in_flight = 0;
  std::int32_t limit = 0;
  bool cold = false;
  Verdict verdict = Verdict::kAvailable;
};

enum class CacheEventKind : std::uint8_t { kStored, kEvicted };

}  // namespace geraniumspread::placement

#endif  // PLACEMENT_PLACEMENT_TYPES_H_
