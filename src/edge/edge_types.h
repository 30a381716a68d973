#ifndef EDGE_EDGE_TYPES_H_
#define EDGE_EDGE_TYPES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "common/common_types.h"
#include "common/result.h"
#include "dispatch/dispatch_types.h"
#include "dispatch/freshness.h"
#include "dispatch/published_state.h"
#include "dispatch/routing_config.h"
#include "dispatch/selection.h"
#include "dispatch/send_limits.h"
#include "dispatch/upstream_table.h"
#include "transport/transport_types.h"

// Public types of the edge: its settings, and the functions that translate between
// it and a platform's wire format.
namespace geraniumspread::edge {

// Settings of one instance, independent of the file format.
struct EdgeSettings {
  std::string instance;
  std::string failure_domain;
  std::string address;  // IP address
  transport::Endpoint caller_endpoint;
  transport::Endpoint readiness_endpoint;
  // Serves published state to peers.
  transport::Endpoint peer_endpoint;
  // UDP port for digests between instances.
  std::uint16_t digest_port = 0;
  transport::Endpoint metrics_endpoint;
  // IP addresses of some instances; may be out of date.
  std::vector<std::string> seed_addresses;
  // Region of each failure domain; empty if all are in one region.
  std::map<std::string, std::string> regions;
  transport::Endpoint store_endpoint;
  dispatch::SelectionSettings selection;
  dispatch::RetryBudgetSettings retries;
  dispatch::FreshnessSettings freshness;
  // Entries of healthy upstreams expire only in a store outage longer than this.
  Duration min_store_outage = std::chrono::seconds(3);
  // Time after a restore of the store within which live upstreams renew their entries.
  Duration renewal_time = dispatch::RestoreRules{}.renewal_time;
  // Grace period between SIGTERM and the end of the process.
  Duration stop_grace = std::chrono::seconds(8);
  // Logs one in this many requests that succeed at the first attempt.
  std::uint64_t log_one_in = 16;
};

struct SettingsError {
  std::string message;
};

// One request of a caller, decoded.
struct CallerRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string host;
  std::string api_key;
  dispatch::Prompt prompt;
  // Timeout that the caller requested, if any.
  std::optional<Duration> deadline;
  // Set when the caller resumes a stream: the last event that it received.
  std::optional<std::uint64_t> last_event_id;
  // Then also the id of the request that brought the first event of the stream.
  std::string resumes;
  // Headers forwarded to the upstream unchanged.
  transport::HttpHeaders forwarded_headers;
  std::string body;
};

struct RequestError {
  int status = 400;
  std::string_view code;
  std::string message;
};

// What the instance adds to a request that it sends to an upstream.
struct UpstreamCall {
  std::string_view upstream;
  std::string_view workspace;
  Duration remaining{0};
  int priority = 0;
  std::optional<std::uint64_t> resume_after;
  // Address of an engine whose prompt cache may hold parts of this prompt.
  std::string_view fetch_prompt_from;
};

// Decoded headers of an upstream's response.
struct UpstreamAnswer {
  std::string echoed_request_id;
  // Headers passed on to the caller.
  transport::HttpHeaders caller_headers;
  // The response carries the seal by which an upstream marks its own responses.
  bool is_sealed = false;
  // The upstream reports that it did not run the request.
  bool not_run = false;
  // A process other than the addressed upstream responded.
  bool wrong_upstream = false;
  // The response has a Content-Encoding, so the body was changed in transit.
  bool has_content_encoding = false;
  // The upstream is about to shut down.
  bool is_leaving = false;
  // How long this instance must send no further request to the upstream, which rejected
  // this one.
  std::optional<Duration> retry_after;
  // Set if the Retry-After value is malformed or was capped.
  std::string_view retry_after_error;
  // Requests per second that the upstream accepts from all instances together, as long as its
  // responses say so.
  std::optional<double> requests_per_second;
  // Set if the upstream says that it is brittle: it fails if it rejects more requests than this
  // within a second, from all instances together.
  std::optional<double> rejections_per_second;
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;
  // How long work takes at the upstream now, as a factor of its usual time.
  std::optional<double> pace;
  std::optional<Duration> cold_left;
};

struct Refusal {
  int status = 503;
  std::string_view code;
  std::string message;
  RunState ran = RunState::kNotRun;
  // When the caller may retry; zero if unknown.
  Duration retry_after{0};
  // `retry_after` differs between callers that are refused together.
  bool is_spread = false;
};

// Decoded published items.
struct IgnoredItem {
  std::string reason;
};
struct UpstreamRemoved {
  std::string id;
};
struct FailureDomainUpdate {
  std::string failure_domain;
  bool in_service = true;
};
using PublishedChange = std::variant<IgnoredItem,
                                     dispatch::RoutingConfig,
                                     dispatch::UpstreamListing,
                                     UpstreamRemoved,
                                     FailureDomainUpdate>;

// Functions that translate to and from one platform's formats.
struct PlatformCodec {
  ResultOf<CallerRequest, RequestError> (*decode_request)(transport::HttpRequest request) = nullptr;
  transport::HttpRequest (*encode_upstream_request)(const CallerRequest& request,
                                                    const UpstreamCall& call) = nullptr;
  UpstreamAnswer (*decode_answer)(const transport::HttpResponse& response) = nullptr;
  transport::HttpResponse (*encode_refusal)(const Refusal& refusal,
                                            std::string_view request_id) = nullptr;
  PublishedChange (*decode_item)(const dispatch::PublishedItem& item) = nullptr;
  // See dispatch::RestoreRules.
  std::optional<std::uint64_t> (*stated_version)(const dispatch::PublishedItem& item) = nullptr;
  bool (*is_renewed)(std::string_view key) = nullptr;
  // Path of the platform's readiness probe.
  std::string_view readiness_path;
};

}  // namespace geraniumspread::edge

#endif  // EDGE_EDGE_TYPES_H_
