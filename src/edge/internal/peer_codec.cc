#include "edge/internal/peer_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "common/base64.h"
#include "common/compression.h"
#include "common/utf8.h"

namespace geraniumspread::edge::detail {
namespace {

namespace json = boost::json;
using Cbor = nlohmann::json;

constexpr unsigned kDigestVersion = 2;
constexpr std::size_t kDigestFields = 12;
// Texts that begin the other datagrams. A digest begins with a number.
constexpr std::string_view kCrashEvidenceMarker = "crashes-1";
constexpr std::string_view kLimitNewsMarker = "limits-1";
constexpr std::string_view kBrittleNewsMarker = "brittle-1";
constexpr std::string_view kOriginsMarker = "origins-1";
constexpr std::string_view kUpstreamNewsMarker = "upstreams-1";
constexpr std::size_t kMarkedFields = 2;
constexpr double kThousand = 1000;
constexpr unsigned kLeaving = 1;
constexpr unsigned kReadsStore = 2;
// The following are ignored by earlier builds.
constexpr unsigned kReachesUpstreams = 4;
constexpr unsigned kBrief = 8;
// The flags also carry, in bits that earlier builds ignore, what identifies the retained items
// and the era of the store.
constexpr unsigned kFingerprintShift = 8;
constexpr unsigned kEraShift = 16;
constexpr std::uint64_t kMaxEra = 0xffff;
// Fits one packet on a link with the usual MTU.
constexpr std::size_t kMaxDigestBytes = 1400;
// A digest carries at most this many loads, the largest ones. A row takes up to 20 bytes.
constexpr std::size_t kMaxLoads = 40;
// A digest carries at most this many reports, the newest ones. A row takes up to 13 bytes.
constexpr std::size_t kMaxReports = 16;

// Smaller transfers are sent uncompressed: compression would take longer than it saves on
// the link.
constexpr std::size_t kMinCompressedBytes = 2048;
// First byte of a compressed transfer. An uncompressed one starts with a brace.
constexpr char kCompressedMarker = 'Z';

// Earlier builds send values that aren't UTF-8 as they are.
json::object Parse(std::string_view bytes) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return json::parse(bytes, {}, options).as_object();
}

json::value EncodeAge(const std::optional<Duration>& age) {
  if (!age) {
    return nullptr;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
}

constexpr std::chrono::milliseconds kMaxConfirmationAge = std::chrono::hours(1);

// Returns nullopt for an age above the limit, since such a confirmation is of no use.
std::optional<Duration> ValidateAge(std::uint64_t milliseconds) {
  if (milliseconds > static_cast<std::uint64_t>(kMaxConfirmationAge.count())) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

std::optional<Duration> DecodeAge(const json::value& value) {
  return value.is_null() ? std::nullopt : ValidateAge(value.to_number<std::uint64_t>());
}

// Throws if the number is negative or too large, where a plain conversion would wrap around.
template <typename Value>
Value Number(const Cbor& value) {
  const auto number = value.get<std::uint64_t>();
  if (!value.is_number_unsigned() || number > std::numeric_limits<Value>::max()) {
    throw std::out_of_range("not a number of this size");
  }
  return static_cast<Value>(number);
}

std::vector<dispatch::UpstreamLoad> LargestLoads(std::vector<dispatch::UpstreamLoad> loads) {
  if (loads.size() > kMaxLoads) {
    std::ranges::nth_element(loads, loads.begin() + kMaxLoads, std::greater(),
                             &dispatch::UpstreamLoad::running);
    loads.resize(kMaxLoads);
  }
  return loads;
}

std::vector<dispatch::ReportedLoad> NewestReports(std::vector<dispatch::ReportedLoad> reports) {
  std::ranges::sort(reports, {}, &dispatch::ReportedLoad::age);
  reports.resize(std::min(reports.size(), kMaxReports));
  return reports;
}

// Calls `take` with the start index of each group of three numbers.
template <typename Take>
void ForEachTriple(const Cbor& row, Take take) {
  constexpr std::size_t kNumbers = 3;
  if (!row.is_array() || row.size() % kNumbers != 0) {
    throw std::out_of_range("rows come by three numbers");
  }
  for (std::size_t index = 0; index < row.size(); index += kNumbers) {
    take(index);
  }
}

std::vector<dispatch::UpstreamLoad> DecodeLoads(const Cbor& row) {
  std::vector<dispatch::UpstreamLoad> loads;
  ForEachTriple(row, [&](std::size_t index) {
    loads.push_back({Number<std::uint32_t>(row[index]), Number<std::uint32_t>(row[index + 1]),
                     Number<std::uint64_t>(row[index + 2])});
  });
  return loads;
}

std::vector<dispatch::ReportedLoad> DecodeReports(const Cbor& row) {
  std::vector<dispatch::ReportedLoad> reports;
  ForEachTriple(row, [&](std::size_t index) {
    reports.push_back({Number<std::uint32_t>(row[index]), Number<std::uint32_t>(row[index + 1]),
                       std::chrono::milliseconds(Number<std::uint32_t>(row[index + 2]))});
  });
  return reports;
}

std::int64_t WholeMilliseconds(Duration age) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(age, Duration{0})).count();
}

// Throws on an age of more than a day, where sums of times could overflow.
Duration DecodeLongAge(const Cbor& value) {
  constexpr Duration kMaxAge = std::chrono::hours(24);
  const Duration age = std::chrono::milliseconds(Number<std::uint32_t>(value));
  if (age > kMaxAge) {
    throw std::out_of_range("an age of more than a day");
  }
  return age;
}

dispatch::CrashEvidence DecodeCrashRow(const Cbor& row) {
  dispatch::CrashEvidence evidence;
  evidence.trait = Number<std::uint64_t>(row.at(0));
  if (!row.at(1).is_null()) {
    evidence.answer_age = DecodeLongAge(row.at(1));
  }
  evidence.has_begun = row.at(2).get<bool>();
  evidence.depth = Number<std::uint32_t>(row.at(3));
  evidence.quarantines = Number<std::uint32_t>(row.at(4));
  evidence.quarantine_age = DecodeLongAge(row.at(5));
  const Cbor& crashes = row.at(6);
  for (std::size_t index = 0; index < crashes.size(); index += 2) {
    evidence.crashes.push_back(
        {Number<std::uint32_t>(crashes.at(index)), DecodeLongAge(crashes.at(index + 1))});
  }
  return evidence;
}

Cbor EncodeLongAge(const std::optional<Duration>& age) {
  return age ? Cbor(WholeMilliseconds(*age)) : Cbor(nullptr);
}

// A rate is a number of thousandths, or null.
Cbor EncodeRate(const std::optional<double>& rate) {
  constexpr double kMaxRate = 4e6;
  return rate ? Cbor(static_cast<std::uint32_t>(
                    std::lround(std::clamp(*rate, 0.0, kMaxRate) * kThousand)))
              : Cbor(nullptr);
}

std::optional<double> DecodeRate(const Cbor& value) {
  return value.is_null() ? std::nullopt : std::optional(Number<std::uint32_t>(value) / kThousand);
}

dispatch::LimitNews DecodeLimitRow(const Cbor& row) {
  dispatch::LimitNews news;
  news.upstream_key = Number<std::uint32_t>(row.at(0));
  news.requests_per_second = DecodeRate(row.at(1));
  news.age = DecodeLongAge(row.at(2));
  return news;
}

dispatch::BrittleNews DecodeBrittleRow(const Cbor& row) {
  dispatch::BrittleNews news;
  news.upstream_key = Number<std::uint32_t>(row.at(0));
  news.rejections_per_second = DecodeRate(row.at(1));
  if (!row.at(2).is_null()) {
    news.age = DecodeLongAge(row.at(2));
  }
  if (!row.at(3).is_null()) {
    news.rejection_age = DecodeLongAge(row.at(3));
  }
  if (!row.at(4).is_null()) {
    news.running = Number<std::uint32_t>(row.at(4));
  }
  return news;
}

constexpr double kPercent = 100;
constexpr std::uint32_t kMaxPacePercent = 10'000;
constexpr std::uint32_t kReplaced = 1;
constexpr std::uint32_t kMeasured = 2;

dispatch::UpstreamNews DecodeUpstreamRow(const Cbor& row) {
  dispatch::UpstreamNews news;
  news.upstream_key = Number<std::uint32_t>(row.at(0));
  news.process = Number<std::uint32_t>(row.at(1));
  if (!row.at(2).is_null()) {
    const auto percent = Number<std::uint32_t>(row.at(2));
    if (percent > 0 && percent <= kMaxPacePercent) {
      news.pace = percent / kPercent;
    }
  }
  news.pace_age = DecodeLongAge(row.at(3));
  if (!row.at(4).is_null()) {
    news.ended_age = DecodeLongAge(row.at(4));
  }
  const auto flags = Number<std::uint32_t>(row.at(5));
  news.is_replaced = (flags & kReplaced) != 0;
  news.is_measured = (flags & kMeasured) != 0;
  return news;
}

StreamOrigin DecodeOriginRow(const Cbor& row) {
  return {Number<std::uint64_t>(row.at(0)), Number<std::uint64_t>(row.at(1))};
}

std::string EncodeMarked(std::string_view marker, Cbor rows) {
  std::string bytes;
  Cbor::to_cbor(Cbor::array({marker, std::move(rows)}), bytes);
  return bytes;
}

// Decodes the rows of a message that begins with `marker`. Returns nullopt for any other message.
template <typename Row>
std::optional<std::vector<Row>> DecodeMarked(std::string_view bytes,
                                             std::string_view marker,
                                             Row (*decode_row)(const Cbor& row)) {
  if (bytes.size() > kMaxDigestBytes) {
    return std::nullopt;
  }
  // The accessors throw on other messages.
  try {
    const Cbor message = Cbor::from_cbor(bytes);
    if (message.size() != kMarkedFields || message.at(0).get<std::string>() != marker) {
      return std::nullopt;
    }
    std::vector<Row> rows;
    for (const Cbor& row : message.at(1)) {
      rows.push_back(decode_row(row));
    }
    return rows;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Elements of the row of an item whose value is text.
constexpr std::size_t kItemFields = 4;

// A row of an item: key, value, revision, whether it was removed. A value that isn't UTF-8 comes in
// base64 as a further element, since JSON can't hold it. Earlier builds ignore that element and
// read an empty value, which is malformed as well.
json::array EncodeItem(const dispatch::PublishedItem& item) {
  if (IsUtf8(item.value)) {
    return {item.key, item.value, item.revision, item.removed};
  }
  return {item.key, "", item.revision, item.removed, EncodeBase64(item.value)};
}

dispatch::PublishedItem DecodeItem(const json::value& value) {
  const json::array& row = value.as_array();
  dispatch::PublishedItem item{std::string(row.at(0).as_string()),
                               std::string(row.at(1).as_string()),
                               row.at(2).to_number<std::uint64_t>(), row.at(3).as_bool()};
  if (row.size() > kItemFields) {
    auto bytes = DecodeBase64(row.at(kItemFields).as_string());
    if (!bytes) {
      throw std::invalid_argument("a value is no base64");
    }
    item.value = std::move(*bytes);
  }
  return item;
}

// A row of a retained item: key, era and revision of the lost change, age in milliseconds,
// whether the retention has ended, and the store's item or null.
json::array EncodeRetained(const dispatch::RetainedCopy& copy) {
  return {copy.key,
          copy.origin.era,
          copy.origin.revision,
          EncodeAge(copy.age),
          copy.ended,
          copy.restored ? json::value(EncodeItem(*copy.restored)) : json::value(nullptr)};
}

dispatch::RetainedCopy DecodeRetained(const json::value& value) {
  const json::array& row = value.as_array();
  dispatch::RetainedCopy copy;
  copy.key = row.at(0).as_string();
  copy.origin = {row.at(1).to_number<std::uint64_t>(), row.at(2).to_number<std::uint64_t>()};
  copy.age = DecodeAge(row.at(3)).value_or(kMaxConfirmationAge);
  copy.ended = row.at(4).as_bool();
  if (!row.at(5).is_null()) {
    copy.restored = DecodeItem(row.at(5));
  }
  return copy;
}

StateTransfer DecodeText(std::string_view text) {
  const json::object object = Parse(text);
  StateTransfer transfer;
  transfer.position.revision = object.at("revision").to_number<std::uint64_t>();
  if (const json::value* era = object.if_contains("era"); era != nullptr) {
    transfer.position.era = era->to_number<std::uint64_t>();
  }
  transfer.is_complete = object.at("complete").as_bool();
  transfer.confirmation_age = DecodeAge(object.at("confirmation_age_ms"));
  for (const json::value& value : object.at("items").as_array()) {
    transfer.items.push_back(DecodeItem(value));
  }
  if (const json::value* retained = object.if_contains("retained"); retained != nullptr) {
    for (const json::value& value : retained->as_array()) {
      transfer.retained.push_back(DecodeRetained(value));
    }
    dispatch::SeparateRetained(transfer.items, transfer.retained);
  }
  return transfer;
}

}  // namespace

// A digest is a CBOR array, for small size, since it is sent to several peers every 200 ms.
// Its elements are: version, instance, incarnation, sequence, address, failure domain,
// flags with fingerprint and era, revision, age of the confirmation, a flat array of loads (three
// numbers each), known addresses, a flat array of reports (three numbers each).
std::string EncodeDigest(const dispatch::PeerDigest& digest) {
  Cbor loads = Cbor::array();
  for (const dispatch::UpstreamLoad& load : LargestLoads(digest.loads)) {
    loads.insert(loads.end(), {load.upstream_key, load.running, load.pending_prefill_tokens});
  }
  Cbor reports = Cbor::array();
  for (const dispatch::ReportedLoad& report : NewestReports(digest.reports)) {
    reports.insert(reports.end(),
                   {report.upstream_key, report.requests,
                    std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count()});
  }
  const unsigned flags =
      (digest.leaving ? kLeaving : 0) | (digest.reads_store ? kReadsStore : 0) |
      (digest.reaches_upstreams ? kReachesUpstreams : 0) | (digest.is_brief ? kBrief : 0) |
      (unsigned{digest.retained_fingerprint} << kFingerprintShift) |
      (static_cast<unsigned>(std::min(digest.published.era, kMaxEra)) << kEraShift);
  const Cbor age =
      digest.confirmation_age
          ? Cbor(std::chrono::duration_cast<std::chrono::milliseconds>(*digest.confirmation_age)
                     .count())
          : Cbor(nullptr);
  const Cbor message = {kDigestVersion,
                        digest.instance,
                        digest.incarnation,
                        digest.sequence,
                        digest.address,
                        digest.failure_domain,
                        flags,
                        digest.published.revision,
                        age,
                        std::move(loads),
                        digest.known_addresses,
                        std::move(reports)};
  std::string bytes;
  Cbor::to_cbor(message, bytes);
  return bytes;
}

std::optional<dispatch::PeerDigest> DecodeDigest(std::string_view bytes) {
  // The size limit also bounds the nesting depth of arrays, on which the parser recurses.
  if (bytes.size() > kMaxDigestBytes) {
    return std::nullopt;
  }
  // The accessors throw on a datagram that is not a digest; it is dropped.
  try {
    const Cbor message = Cbor::from_cbor(bytes);
    if (message.size() != kDigestFields || Number<unsigned>(message.at(0)) != kDigestVersion) {
      return std::nullopt;
    }
    dispatch::PeerDigest digest;
    digest.instance = message.at(1).get<std::string>();
    digest.incarnation = Number<std::uint64_t>(message.at(2));
    digest.sequence = Number<std::uint64_t>(message.at(3));
    digest.address = message.at(4).get<std::string>();
    digest.failure_domain = message.at(5).get<std::string>();
    const auto flags = Number<unsigned>(message.at(6));
    digest.leaving = (flags & kLeaving) != 0;
    digest.reads_store = (flags & kReadsStore) != 0;
    digest.reaches_upstreams = (flags & kReachesUpstreams) != 0;
    digest.is_brief = (flags & kBrief) != 0;
    digest.retained_fingerprint = static_cast<std::uint8_t>(flags >> kFingerprintShift);
    digest.published = {flags >> kEraShift, Number<std::uint64_t>(message.at(7))};
    if (const Cbor& age = message.at(8); !age.is_null()) {
      digest.confirmation_age = ValidateAge(Number<std::uint64_t>(age));
    }
    digest.loads = DecodeLoads(message.at(9));
    digest.known_addresses = message.at(10).get<std::vector<std::string>>();
    digest.reports = DecodeReports(message.at(11));
    return digest;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Crash evidence is a CBOR array of a marker and one row a trait: trait, age of the answer or
// null, whether an answer has begun, depth, number of quarantines, age of the last one, a flat
// array of crashes (process, age). Ages are in milliseconds.
std::string EncodeCrashEvidence(const std::vector<dispatch::CrashEvidence>& evidence) {
  Cbor rows = Cbor::array();
  for (const dispatch::CrashEvidence& entry : evidence) {
    Cbor crashes = Cbor::array();
    for (const dispatch::CrashEvidence::Row& crash : entry.crashes) {
      crashes.insert(crashes.end(), {crash.process, WholeMilliseconds(crash.age)});
    }
    rows.push_back(Cbor::array({entry.trait, EncodeLongAge(entry.answer_age), entry.has_begun,
                                entry.depth, entry.quarantines,
                                WholeMilliseconds(entry.quarantine_age), std::move(crashes)}));
  }
  return EncodeMarked(kCrashEvidenceMarker, std::move(rows));
}

std::optional<std::vector<dispatch::CrashEvidence>> DecodeCrashEvidence(std::string_view bytes) {
  return DecodeMarked(bytes, kCrashEvidenceMarker, DecodeCrashRow);
}

// Limit news is a CBOR array of a marker and one row an upstream: key, thousandths of a request
// per second or null, age in milliseconds.
std::string EncodeLimitNews(const std::vector<dispatch::LimitNews>& news) {
  Cbor rows = Cbor::array();
  for (const dispatch::LimitNews& entry : news) {
    rows.push_back(Cbor::array(
        {entry.upstream_key, EncodeRate(entry.requests_per_second), WholeMilliseconds(entry.age)}));
  }
  return EncodeMarked(kLimitNewsMarker, std::move(rows));
}

std::optional<std::vector<dispatch::LimitNews>> DecodeLimitNews(std::string_view bytes) {
  return DecodeMarked(bytes, kLimitNewsMarker, DecodeLimitRow);
}

// News of brittle upstreams is a CBOR array of a marker and one row an upstream: key, thousandths
// of a rejection per second, age of the answer, age of the newest rejection, and requests of the
// sender. All but the key may be null.
std::string EncodeBrittleNews(const std::vector<dispatch::BrittleNews>& news) {
  Cbor rows = Cbor::array();
  for (const dispatch::BrittleNews& entry : news) {
    const Cbor running = entry.running ? Cbor(*entry.running) : Cbor(nullptr);
    rows.push_back(
        Cbor::array({entry.upstream_key, EncodeRate(entry.rejections_per_second),
                     EncodeLongAge(entry.age), EncodeLongAge(entry.rejection_age), running}));
  }
  return EncodeMarked(kBrittleNewsMarker, std::move(rows));
}

std::optional<std::vector<dispatch::BrittleNews>> DecodeBrittleNews(std::string_view bytes) {
  return DecodeMarked(bytes, kBrittleNewsMarker, DecodeBrittleRow);
}

// News of upstreams is a CBOR array of a marker and one row an upstream: key, start of the process
// in milliseconds modulo 2^32, pace in percent or null, age of the pace, age of the refused connect
// or null, and flags: 1 if another process answered, 2 if the pace was measured. Ages are in
// milliseconds.
std::string EncodeUpstreamNews(const std::vector<dispatch::UpstreamNews>& news) {
  Cbor rows = Cbor::array();
  for (const dispatch::UpstreamNews& entry : news) {
    const Cbor pace =
        entry.pace ? Cbor(std::clamp<long>(std::lround(*entry.pace * kPercent), 1, kMaxPacePercent))
                   : Cbor(nullptr);
    const Cbor ended = entry.ended_age ? Cbor(WholeMilliseconds(*entry.ended_age)) : Cbor(nullptr);
    rows.push_back(Cbor::array(
        {entry.upstream_key, entry.process, pace, WholeMilliseconds(entry.pace_age), ended,
         (entry.is_replaced ? kReplaced : 0) | (entry.is_measured ? kMeasured : 0)}));
  }
  std::string bytes;
  Cbor::to_cbor(Cbor::array({kUpstreamNewsMarker, std::move(rows)}), bytes);
  return bytes;
}

std::optional<std::vector<dispatch::UpstreamNews>> DecodeUpstreamNews(std::string_view bytes) {
  return DecodeMarked(bytes, kUpstreamNewsMarker, DecodeUpstreamRow);
}

// Origins are a CBOR array of a marker and one row a stream: stream, version.
std::string EncodeOrigins(const std::vector<StreamOrigin>& origins) {
  Cbor rows = Cbor::array();
  for (const auto& [stream, version] : origins) {
    rows.push_back(Cbor::array({stream, version}));
  }
  return EncodeMarked(kOriginsMarker, std::move(rows));
}

std::optional<std::vector<StreamOrigin>> DecodeOrigins(std::string_view bytes) {
  return DecodeMarked(bytes, kOriginsMarker, DecodeOriginRow);
}

std::string EncodeTransfer(const StateTransfer& transfer) {
  json::array items;
  for (const dispatch::PublishedItem& item : transfer.items) {
    items.push_back(EncodeItem(item));
  }
  json::array retained;
  for (const dispatch::RetainedCopy& copy : transfer.retained) {
    retained.push_back(EncodeRetained(copy));
  }
  std::string text =
      json::serialize(json::object{{"revision", transfer.position.revision},
                                   {"era", transfer.position.era},
                                   {"retained", std::move(retained)},
                                   {"complete", transfer.is_complete},
                                   {"confirmation_age_ms", EncodeAge(transfer.confirmation_age)},
                                   {"items", std::move(items)}});
  return text.size() < kMinCompressedBytes ? text : kCompressedMarker + Compress(text);
}

std::optional<StateTransfer> DecodeTransfer(std::string_view bytes) {
  try {
    if (!bytes.starts_with(kCompressedMarker)) {
      return DecodeText(bytes);
    }
    const auto text = Decompress(bytes.substr(1), kMaxStateBytes);
    return text ? std::optional(DecodeText(*text)) : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace geraniumspread::edge::detail
