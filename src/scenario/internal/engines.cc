#include <boost/json.hpp>
#include <cmath>

#include "common/hash.h"
#include "scenario/internal/fleet_internal.h"

// Engines and service instances: they count what runs and report their load.
namespace geraniumspread::scenario::detail {
namespace {

namespace json = boost::json;

constexpr Duration kNoAnswer = std::chrono::milliseconds(500);

std::string ReportText(const Fleet& fleet, Upstream& upstream) {
  return json::serialize(json::object{{"instance", upstream.id},
                                      {"incarnation", upstream.incarnation},
                                      {"sequence", ++upstream.sequence},
                                      {"model", "wording"},
                                      {"running", upstream.running},
                                      {"waiting", 0},
                                      {"capacity", fleet.options.capacity},
                                      {"cold_limit", fleet.options.cold_limit},
                                      {"cold", upstream.cold},
                                      {"cache_blocks", 0},
                                      {"cache_capacity", 0},
                                      {"first_token_ms", 0}});
}

void DeliverReport(Fleet& fleet,
                   std::size_t router,
                   const std::string& upstream,
                   TimePoint asked_at,
                   Duration delay,
                   const std::string& text) {
  PostToRouter(fleet, router, delay, [&fleet, router, upstream, asked_at, text](RouterNode& node) {
    CarryOut(fleet, router,
             router::HandleLoadReport(*node.state, upstream, asked_at, text, fleet.now));
  });
}

// Requests of the pool above the bound of invariant I1 at this upstream.
std::int64_t ExcessOf(const Fleet& fleet, const Upstream& at) {
  std::int64_t in_flight = 0;
  std::int64_t usable = 0;
  for (const Upstream& upstream : fleet.upstreams) {
    if (upstream.kind == at.kind) {
      in_flight += upstream.running;
      usable += upstream.up && !upstream.leaving ? 1 : 0;
    }
  }
  const double mean =
      static_cast<double>(in_flight) / static_cast<double>(std::max<std::int64_t>(usable, 1));
  const auto bound = static_cast<std::int64_t>(std::ceil(fleet.options.load_multiple * mean));
  return at.running - std::max<std::int64_t>(bound, 1);
}

void NoteStart(Fleet& fleet, Upstream& upstream) {
  ++upstream.running;
  upstream.peak = std::max(upstream.peak, upstream.running);
  fleet.starts.push_back({fleet.now, upstream.id, upstream.domain});
  if (upstream.kind != UpstreamKind::kModelEngine) {
    return;
  }
  fleet.load_excess.emplace_back(fleet.now, ExcessOf(fleet, upstream));
  if (upstream.cold) {
    fleet.cold_arrivals.push_back({fleet.now - upstream.cold_since, upstream.running});
  }
}

void NoteEnd(const Fleet& fleet, Upstream& upstream, TimePoint started) {
  --upstream.running;
  const bool counts = upstream.cold && started >= upstream.cold_since;
  if (counts && ++upstream.finished_cold >= fleet.options.cold_limit) {
    upstream.cold = false;
  }
}

void FinishRun(Fleet& fleet, std::uint64_t attempt, std::uint64_t incarnation) {
  const auto found = fleet.attempts.find(attempt);
  if (found == fleet.attempts.end()) {
    return;
  }
  const Attempt& run = found->second;
  Upstream& upstream = FindUpstream(fleet, run.upstream);
  if (upstream.incarnation != incarnation) {
    return;  // ended by the crash
  }
  NoteEnd(fleet, upstream, run.started);
  const std::size_t owner = run.owner;
  const RouterNode& node = fleet.routers[owner];
  if (!node.state || node.identity.incarnation != run.owner_incarnation) {
    fleet.attempts.erase(found);
    return;
  }
  PostToRouter(fleet, owner, kHop, [&fleet, attempt](RouterNode&) {
    EndAttempt(fleet, attempt, AttemptResult::kAnswered, false);
  });
}

void StartRun(Fleet& fleet, std::uint64_t attempt) {
  const auto found = fleet.attempts.find(attempt);
  if (found == fleet.attempts.end()) {
    return;
  }
  Attempt& run = found->second;
  Upstream& upstream = FindUpstream(fleet, run.upstream);
  if (!upstream.up) {
    PostToRouter(fleet, run.owner, kHop, [&fleet, attempt](RouterNode&) {
      EndAttempt(fleet, attempt, AttemptResult::kNotRun, true);
    });
    return;
  }
  run.running = true;
  run.started = fleet.now;
  NoteStart(fleet, upstream);
  const Request& request = fleet.requests.at(run.request);
  if (!request.ticket.empty()) {
    ++fleet.ticket_runs[request.ticket];
  }
  const std::uint64_t incarnation = upstream.incarnation;
  PostEvent(fleet, request.run_time,
            [&fleet, attempt, incarnation] { FinishRun(fleet, attempt, incarnation); });
}

}  // namespace

void FetchReport(Fleet& fleet, std::size_t router, const router::ReportRequest& request) {
  const TimePoint asked_at = fleet.now;
  if (LinkOf(fleet, fleet.routers[router], request.upstream).cut) {
    DeliverReport(fleet, router, request.upstream, asked_at, kNoAnswer, {});
    return;
  }
  PostEvent(fleet, kHop, [&fleet, router, id = request.upstream, asked_at] {
    Upstream& upstream = FindUpstream(fleet, id);
    const std::string text = upstream.up ? ReportText(fleet, upstream) : std::string();
    DeliverReport(fleet, router, id, asked_at, fleet.options.report_lag, text);
  });
}

void Dispatch(Fleet& fleet, std::uint64_t attempt) {
  const Attempt& run = fleet.attempts.at(attempt);
  // The connection is opened first; a pause of the owner may fall in between.
  PostToRouter(fleet, run.owner, kHop, [&fleet, attempt](RouterNode&) {
    PostEvent(fleet, kHop, [&fleet, attempt] { StartRun(fleet, attempt); });
  });
}

void TurnCold(const Fleet& fleet, Upstream& upstream) {
  upstream.cold = true;
  upstream.cold_since = fleet.now;
  upstream.finished_cold = 0;
}

}  // namespace geraniumspread::scenario::detail
