#ifndef FLEET_CONFIG_READER_H_
#define FLEET_CONFIG_READER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "common/runtime_clock.h"
#include "fleet/config_exchange.h"
#include "fleet/membership.h"

// Schedules this router's calls to the configuration service. At most one call is
// outstanding and calls keep a minimum interval, so the whole fleet can't exceed
// the service's limit of 2,000 calls a second.
namespace geraniumspread::fleet {

struct ConfigReaderSettings {
  std::size_t readers_per_domain = 3;
  Duration watch_wait = std::chrono::seconds(10);
  // The first read after a start is delayed by a random time in this range. Peers
  // are asked first, and the reads of a fleet-wide restart are spread out.
  Duration first_read_min = std::chrono::milliseconds(200);
  Duration first_read_max = std::chrono::milliseconds(1200);
  // Minimum time between two calls of a reader, and of a router that isn't one.
  // 410 routers that aren't readers make at most 410 / 0.3 s = 1,367 calls a second.
  Duration min_reader_call_interval = std::chrono::milliseconds(50);
  Duration min_other_call_interval = std::chrono::milliseconds(300);
  // Routers that aren't readers poll the manifest once per period, in case no
  // reader can reach the service. The period grows with the fleet to keep these
  // polls below `probe_rate` a second over all routers.
  Duration probe_period = std::chrono::seconds(5);
  double probe_rate = 100;
  Duration backoff_min = std::chrono::milliseconds(500);
  Duration backoff_max = std::chrono::seconds(8);
  // Minimum time from the start of one watch to the next. Limits the reads when
  // the service answers without waiting, or keeps returning a manifest that the
  // store refuses.
  Duration min_watch_interval = std::chrono::seconds(1);
  // An outstanding call times out this long after its `wait` has passed.
  Duration call_timeout = std::chrono::seconds(2);
};

// A read of GET /v1/config/<key>?after=<after_version>&wait_ms=<wait>. Keys are
// "manifest" and "shard/<digest>".
struct ServiceCall {
  std::uint64_t call_id = 0;
  std::string key;
  std::uint64_t after_version = 0;
  std::chrono::milliseconds wait{0};
};

enum class ServiceStatus : std::uint8_t {
  kValue,        // 200
  kNotModified,  // 304
  kNotFound,     // 404
  kBusy,         // 429
  kFailed,       // no response, timeout, or any other status
};

struct ServiceResponse {
  std::uint64_t call_id = 0;
  ServiceStatus status = ServiceStatus::kFailed;
  std::string value;
};

struct ConfigReader {
  ConfigReaderSettings settings;
  std::optional<ServiceCall> outstanding;
  TimePoint outstanding_since;
  TimePoint next_call;
  TimePoint next_manifest;
  Duration backoff{0};
  std::uint64_t last_call_id = 0;
  std::uint64_t calls = 0;
};

ConfigReader MakeConfigReader(const ConfigReaderSettings& settings,
                              std::mt19937_64& random,
                              TimePoint now);

// True if this router is one of the readers of its failure domain. False until
// the first instance list has been applied.
bool IsConfigReader(const ConfigReaderSettings& settings, const Membership& membership);

// Starts and returns the next call that is due, if any. `shard_digest` names a
// shard to read from the service because peers don't provide it, or is empty.
std::optional<ServiceCall> NextServiceCall(ConfigReader& reader,
                                           const Membership& membership,
                                           std::uint64_t known_version,
                                           const std::string& shard_digest,
                                           std::mt19937_64& random,
                                           TimePoint now);

// Ends the outstanding call and schedules the next one. Returns the finished call,
// or nothing if the response doesn't belong to the outstanding call, for example
// because that call has timed out.
std::optional<ServiceCall> FinishServiceCall(ConfigReader& reader,
                                             const Membership& membership,
                                             const ServiceResponse& answer,
                                             std::mt19937_64& random,
                                             TimePoint now);

}  // namespace geraniumspread::fleet

#endif  // FLEET_CONFIG_READER_H_
