#ifndef DISPATCH_SELECTION_H_
#define DISPATCH_SELECTION_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/upstream_table.h"

// Chooses the upstream of one attempt by its expected cost in milliseconds.
namespace geraniumspread::dispatch {

struct SelectionSettings {
  // An upstream may hold this multiple of the mean of its service, and some more.
  double load_factor = 2;
  double load_slack = 3;
  ColdLimitSettings cold;
  // Prompt tokens that an engine reads in a millisecond.
  double prefill_tokens_per_ms = 38.4;
  // Cost of leaving the failure domain: the bytes between domains are paid for.
  double cross_domain_ms = 10;
  double cross_domain_ms_per_kilobyte = 6;
  // Cost of an upstream in a failure domain that seems cut off.
  double silent_domain_ms = 1000;
};

struct SelectionRequest {
  std::string_view service;
  bool is_engine = false;
  Prompt prompt;
  std::size_t body_bytes = 0;
  std::string_view own_domain;
  // StableHash of the instance's name and those of the others that it knows.
  std::uint64_t own_hash = 0;
  std::span<const std::uint64_t> peer_hashes;
  std::size_t instances = 1;
  // Requests a second that a cold upstream of the service bears.
  double cold_requests_per_second = 0;
  // Ids that this request was sent to already.
  std::span<const std::string> tried;
  TimePoint now;
};

struct Candidate {
  UpstreamRow row;
  double cost_ms = 0;
  std::uint32_t running = 0;
  std::uint32_t uncached_tokens = 0;
  // All instances expect the shared parts of the prompt here.
  bool is_home = false;
  // Address of an engine to fetch missing shared parts from; empty without one.
  std::string fetch_from;
};

enum class SelectionFailure : std::uint8_t {
  kNone,
  kNoneListed,
  kNoneInService,
  kAllTried,
  kAllPaused,
  kAllCold,
  kAllUnreachable,
  kAllFull,
};
std::string_view ToString(SelectionFailure failure);

struct Selection {
  // The first has the lowest cost; empty when `failure` is set.
  std::vector<Candidate> candidates;
  SelectionFailure failure = SelectionFailure::kNone;
};

// An engine that probably keeps shared parts of the prompt that `chosen` lacks,
// and can hand them over faster than they are read again; null when there is none.
const Upstream* FindPrefixSource(const UpstreamTable& table,
                                 const SelectionRequest& request,
                                 const Upstream& chosen);

Selection SelectUpstream(const UpstreamTable& table,
                         const SelectionSettings& settings,
                         const SelectionRequest& request);

}  // namespace geraniumspread::dispatch

#endif  // DISPATCH_SELECTION_H_
