#ifndef FLEET_CONFIG_READER_H_
#define FLEET_CONFIG_READER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "common/runtime_clock.h"
#include "fleet/config_exchange.h"
#include "fleet/membership.h"

// Decides when this router calls the configuration service. At most one call is
// outstanding and calls keep a least distance, so the fleet stays within the
// service's 2,000 calls a second by construction.
namespace geraniumspread::fleet {

struct ConfigReaderSettings {
  std::size_t readers_per_domain = 3;
  Duration watch_wait = std::chrono::seconds(10);
  // The first read after a start comes at a random time in this range, so that
  // peers are asked first and a restart of all routers is spread out.
  Duration first_read_min = std::chrono::milliseconds(200);
  Duration first_read_max = std::chrono::milliseconds(1200);
  // Least time between two calls of a reader, and of every other router. With
  // 410 routers of the second kind: 410 / 0.3 s = 1,367 calls a second.
  Duration reader_gap = std::chrono::milliseconds(50);
  Duration other_gap = std::chrono::milliseconds(300);
  // Routers that aren't readers look once per period, for the case that no
  // reader can reach the service. Grows with the fleet to keep these calls
  // below `probe_rate` a second over all routers.
  Duration probe_period = std::chrono::seconds(5);
  double probe_rate = 100;
  Duration backoff_min = std::chrono::milliseconds(500);
  Duration backoff_max = std::chrono::seconds(8);
  // Least time from the start of one watch to the next. It bounds the reads of
  // a service that doesn't wait, or that keeps giving a manifest which the
  // store refuses.
  Duration watch_pause = std::chrono::seconds(1);
  // An outstanding call is given up this long after its wait.
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
  kValue,         // 200
  kNothingNewer,  // 304
  kNotFound,      // 404
  kBusy,          // 429
  kFailed,        // no answer, timeout, or any other status
};

struct ServiceAnswer {
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

// True when this router is one of the readers of its domain. False until the
// first instance list has been applied.
bool IsConfigReader(const ConfigReaderSettings& settings, const Membership& membership);

// The next call that is due, if any. `shard_digest` is a shard that no peer can
// give, or empty.
std::optional<ServiceCall> NextServiceCall(ConfigReader& reader,
                                           const Membership& membership,
                                           std::uint64_t known_version,
                                           const std::string& shard_digest,
                                           std::mt19937_64& random,
                                           TimePoint now);

// Ends the outstanding call and sets the time of the next one. Returns the call
// that was answered, or nothing for an answer that came after its timeout.
std::optional<ServiceCall> FinishServiceCall(ConfigReader& reader,
                                             const Membership& membership,
                                             const ServiceAnswer& answer,
                                             std::mt19937_64& random,
                                             TimePoint now);

}  // namespace geraniumspread::fleet

#endif  // FLEET_CONFIG_READER_H_
