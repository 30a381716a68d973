#ifndef FLEET_FLEET_TYPES_H_
#define FLEET_FLEET_TYPES_H_

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/common_types.h"

// Membership of the fleet, control messages between routers, and the
// distribution of configuration and quarantine entries. Deterministic: no sockets, threads or
// clocks.
namespace geraniumspread::fleet {

enum class FleetErrorCode : std::uint8_t {
  kTooLarge,            // a list, frame, message or field is above its size limit
  kMalformed,           // not the expected JSON or frame layout
  kInvalidField,        // a field has a wrong type or a value out of range
  kImplausibleList,     // the instance list removes too much at once
  kStaleList,           // the instance list has a lower revision than the last one applied
  kStaleIncarnation,    // the incarnation is older than the newest one known
  kBadMac,              // the frame's MAC doesn't match
  kReplayedSequence,    // the sequence number is not above the last one
  kUnsupportedVersion,  // the message's `v` is below 1
  kUnknownMethod,       // a method that this version doesn't know; the message is dropped
  kSelfSender,          // a frame that names this router as its sender
};

struct FleetError {
  FleetErrorCode code;
  std::string message;
};

// Result of a fallible function of this module. `.error()` holds the reason.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, FleetError>;

std::string_view ToString(FleetErrorCode code);

// State that a router announces in its heartbeats.
// Wire forms: "starting", "serving", "draining".
enum class RouterState : std::uint8_t { kStarting, kServing, kDraining };
std::string_view ToString(RouterState state);

// Network address of a member. Ports that don't apply are 0.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t control_port = 0;

  bool operator==(const Endpoint&) const = default;
};

// Version of the configuration and the SHA-256 (64 hexadecimal characters) of
// its manifest. Version 0 with an empty digest stands for no configuration.
struct ConfigVersion {
  std::uint64_t version = 0;
  std::string digest;

  bool operator==(const ConfigVersion&) const = default;
};

// Longest accepted id of an instance, pool, failure domain or fingerprint.
inline constexpr std::size_t kMaxIdBytes = 128;

// True for a non-empty id of printable ASCII without spaces, up to kMaxIdBytes.
bool IsValidId(std::string_view id);

}  // namespace geraniumspread::fleet

#endif  // FLEET_FLEET_TYPES_H_
