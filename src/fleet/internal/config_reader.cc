#include "fleet/config_reader.h"

#include <algorithm>

#include "fleet/internal/random_choice.h"

namespace geraniumspread::fleet {
namespace {

constexpr std::string_view kManifestKey = "manifest";
constexpr std::string_view kReaderRankKey = "config-reader";

Duration MinCallInterval(const ConfigReader& reader, const Membership& membership) {
  return IsConfigReader(reader.settings, membership) ? reader.settings.min_reader_call_interval
                                                     : reader.settings.min_other_call_interval;
}

Duration ProbePeriod(const ConfigReaderSettings& settings,
                     const Membership& membership,
                     std::mt19937_64& random) {
  const std::chrono::duration<double> by_rate(static_cast<double>(membership.routers.size()) /
                                              settings.probe_rate);
  const Duration period =
      std::max(settings.probe_period, std::chrono::duration_cast<Duration>(by_rate));
  return detail::RandomDuration(random, period * 3 / 4, period * 5 / 4);
}

void BackOff(ConfigReader& reader, std::mt19937_64& random, TimePoint now) {
  const ConfigReaderSettings& settings = reader.settings;
  reader.backoff = std::clamp(reader.backoff * 2, settings.backoff_min, settings.backoff_max);
  const Duration pause = detail::RandomDuration(random, reader.backoff / 2, reader.backoff);
  reader.next_call = std::max(reader.next_call, now + pause);
}

void FinishManifestRead(ConfigReader& reader,
                        const Membership& membership,
                        std::mt19937_64& random,
                        TimePoint now) {
  if (!IsConfigReader(reader.settings, membership)) {
    reader.next_manifest = now + ProbePeriod(reader.settings, membership, random);
    return;
  }
  reader.next_manifest = reader.outstanding_since + reader.settings.min_watch_interval;
}

std::optional<ServiceCall> StartCall(ConfigReader& reader, ServiceCall call, TimePoint now) {
  call.call_id = ++reader.last_call_id;
  reader.outstanding = call;
  reader.outstanding_since = now;
  ++reader.calls;
  return call;
}

bool IsTimedOut(const ConfigReader& reader, TimePoint now) {
  return reader.outstanding &&
         now - reader.outstanding_since > reader.outstanding->wait + reader.settings.call_timeout;
}

}  // namespace

ConfigReader MakeConfigReader(const ConfigReaderSettings& settings,
                              std::mt19937_64& random,
                              TimePoint now) {
  ConfigReader reader;
  reader.settings = settings;
  reader.next_call =
      now + detail::RandomDuration(random, settings.first_read_min, settings.first_read_max);
  // Delays the first poll of a router that isn't a reader.
  reader.next_manifest =
      now + detail::RandomDuration(random, settings.probe_period / 2, settings.probe_period);
  return reader;
}

bool IsConfigReader(const ConfigReaderSettings& settings, const Membership& membership) {
  return membership.list_revision != 0 &&
         OwnRank(membership, kReaderRankKey) < settings.readers_per_domain;
}

std::optional<ServiceCall> NextServiceCall(ConfigReader& reader,
                                           const Membership& membership,
                                           std::uint64_t known_version,
                                           const std::string& shard_digest,
                                           std::mt19937_64& random,
                                           TimePoint now) {
  if (IsTimedOut(reader, now)) {
    const ServiceResponse no_response{reader.last_call_id, ServiceStatus::kFailed, {}};
    FinishServiceCall(reader, membership, no_response, random, now);
  }
  if (reader.outstanding || now < reader.next_call) {
    return std::nullopt;
  }
  ServiceCall call;
  if (!shard_digest.empty()) {
    call.key = "shard/" + shard_digest;
    return StartCall(reader, std::move(call), now);
  }
  // The first read of a reader ignores `next_manifest`, which delays the first poll
  // of other routers.
  const bool is_first = reader.calls == 0;
  if (now < reader.next_manifest && !is_first) {
    return std::nullopt;
  }
  const bool is_reader = IsConfigReader(reader.settings, membership);
  if (now < reader.next_manifest && !is_reader) {
    return std::nullopt;
  }
  call.key = kManifestKey;
  call.after_version = known_version;
  if (is_reader) {
    call.wait = std::chrono::duration_cast<std::chrono::milliseconds>(reader.settings.watch_wait);
  }
  return StartCall(reader, std::move(call), now);
}

std::optional<ServiceCall> FinishServiceCall(ConfigReader& reader,
                                             const Membership& membership,
                                             const ServiceResponse& answer,
                                             std::mt19937_64& random,
                                             TimePoint now) {
  if (!reader.outstanding || reader.outstanding->call_id != answer.call_id) {
    return std::nullopt;
  }
  const auto finished = reader.outstanding;
  reader.outstanding.reset();
  reader.next_call = std::max(now, reader.outstanding_since + MinCallInterval(reader, membership));
  if (finished->key == kManifestKey) {
    FinishManifestRead(reader, membership, random, now);
  }
  if (answer.status == ServiceStatus::kValue || answer.status == ServiceStatus::kNotModified) {
    reader.backoff = Duration(0);
  } else {
    BackOff(reader, random, now);
  }
  return finished;
}

}  // namespace geraniumspread::fleet
