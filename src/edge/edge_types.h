#ifndef EDGE_EDGE_TYPES_H_
#define EDGE_EDGE_TYPES_H_

#include <cstdint>
#include <functional>
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

// Types at the boundary of the edge program: its settings, and the functions
// that translate between it and a platform.
namespace geraniumspread::edge {

// Settings of one instance, whatever the format of their file.
struct EdgeSettings {
  std::string instance;
  std::string failure_domain;
  std::string address;  // IP number
  transport::Endpoint caller_endpoint;
  transport::Endpoint readiness_endpoint;
  // State of this instance for its peers.
  transport::Endpoint peer_endpoint;
  // Digests between instances, by UDP.
  std::uint16_t digest_port = 0;
  transport::Endpoint metrics_endpoint;
  // IP numbers of some instances, which may be out of date.
  std::vector<std::string> seed_addresses;
  transport::Endpoint store_endpoint;
  dispatch::SelectionSettings selection;
  dispatch::RetryBudgetSettings retries;
  dispatch::FreshnessSettings freshness;
  // Entries of sound upstreams expire only in an outage of the store longer than this.
  Duration min_store_outage = std::chrono::seconds(3);
  // Time between SIGTERM and the end of the process.
  Duration stop_grace = std::chrono::seconds(8);
  // One in this many requests that succeed at once is logged.
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
  // How long the caller waits; unset when it doesn't say.
  std::optional<Duration> deadline;
  // The caller resumes a stream after this event.
  std::optional<std::uint64_t> last_event_id;
  // Headers that go on to the upstream as they are.
  transport::HttpHeaders forwarded_headers;
  std::string body;
};

struct RequestError {
  int status = 400;
  std::string_view code;
  std::string message;
};

// What the instance adds to a request for one upstream.
struct UpstreamCall {
  std::string_view upstream;
  std::string_view workspace;
  Duration remaining{0};
  int priority = 0;
  std::optional<std::uint64_t> resume_after;
  // Address of an engine that may keep shared parts of the prompt.
  std::string_view fetch_prompt_from;
};

// What the head of an upstream's answer says beside status and body.
struct UpstreamAnswer {
  std::string echoed_request_id;
  // Headers for the caller.
  transport::HttpHeaders caller_headers;
  // The upstream marks the answer as its own.
  bool is_sealed = false;
  // The upstream says that it did not run the request.
  bool not_run = false;
  // Another process than the one addressed answered.
  bool wrong_upstream = false;
  // The body was changed on its way.
  bool has_content_encoding = false;
  // The upstream is about to stop.
  bool is_leaving = false;
  // For how long the upstream, which turned the request away, wants no further one
  // from this instance.
  std::optional<Duration> retry_after;
  // It said so in a way that can't be read, or for longer than is taken.
  std::string_view retry_after_error;
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;
  std::optional<Duration> cold_left;
};

struct Refusal {
  int status = 503;
  std::string_view code;
  std::string message;
  RunState ran = RunState::kNotRun;
  // When the caller may come back; zero without a hint.
  Duration retry_after{0};
};

// Changes that published items stand for.
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

// Translation to and from one platform.
struct PlatformCodec {
  ResultOf<CallerRequest, RequestError> (*decode_request)(transport::HttpRequest request) = nullptr;
  transport::HttpRequest (*encode_upstream_request)(const CallerRequest& request,
                                                    const UpstreamCall& call) = nullptr;
  UpstreamAnswer (*decode_answer)(const transport::HttpResponse& response) = nullptr;
  transport::HttpResponse (*encode_refusal)(const Refusal& refusal,
                                            std::string_view request_id) = nullptr;
  PublishedChange (*decode_item)(const dispatch::PublishedItem& item) = nullptr;
  // Path at which the platform asks whether the instance is ready.
  std::string_view readiness_path;
};

}  // namespace geraniumspread::edge

#endif  // EDGE_EDGE_TYPES_H_
