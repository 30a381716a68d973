#include "load/load_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <sstream>

#include "load/internal/load_driver.h"

namespace geraniumspread::load {

namespace asio = boost::asio;
using transport::HttpRequest;

namespace detail {
namespace {

constexpr std::string_view kControlBytesMetric = "geranium_control_bytes_total";
constexpr Duration kLongWait = std::chrono::hours(24);

transport::ExchangeTimeouts MakeTimeouts(Duration timeout) {
  transport::ExchangeTimeouts timeouts;
  timeouts.first_byte = timeout;
  timeouts.between_bytes = timeout;
  return timeouts;
}

std::vector<RouterTraffic> CompareControlBytes(const std::vector<transport::Endpoint>& routers,
                                               const std::vector<double>& before,
                                               const std::vector<double>& after,
                                               Duration elapsed) {
  std::vector<RouterTraffic> traffic;
  const double seconds = std::chrono::duration<double>(elapsed).count();
  for (std::size_t index = 0; index < routers.size(); ++index) {
    // Negative: the router has no such counter. A smaller value: it was replaced.
    if (before[index] >= 0 && after[index] >= before[index]) {
      traffic.push_back({ToString(routers[index]), (after[index] - before[index]) / seconds});
    }
  }
  return traffic;
}

}  // namespace

LoadDriver::LoadDriver(asio::any_io_executor io_executor, LoadSettings load_settings)
    : executor(std::move(io_executor)),
      settings(std::move(load_settings)),
      pool(executor),
      timeouts(MakeTimeouts(settings.timeout)),
      chats(settings.workload.workspaces.size()),
      all_done(executor) {}

asio::awaitable<void> LoadDriver::Run() {
  this->report.before = co_await this->ReadStandins("/admin/stats?brief=1");
  std::vector<double> bytes_before;
  bytes_before.reserve(this->settings.routers.size());
  for (const transport::Endpoint& router : this->settings.routers) {
    bytes_before.push_back(co_await this->ReadControlBytes(router));
  }
  this->started_at = RuntimeClock::now();
  for (const WorkspaceRate& limit : this->settings.workload.limits) {
    this->allowances.push_back(
        MakeWorkspaceAllowance(limit.requests_per_second, limit.max_concurrent, this->started_at));
  }
  this->Spawn(this->SendEvents());
  this->Spawn(this->SendArrivals());
  while (this->open_requests > 0) {
    this->all_done.expires_after(kLongWait);
    co_await this->all_done.async_wait(kAwaitTuple);
  }
  this->report.elapsed = RuntimeClock::now() - this->started_at;
  std::vector<double> bytes_after;
  bytes_after.reserve(this->settings.routers.size());
  for (const transport::Endpoint& router : this->settings.routers) {
    bytes_after.push_back(co_await this->ReadControlBytes(router));
  }
  this->report.traffic =
      CompareControlBytes(this->settings.routers, bytes_before, bytes_after, this->report.elapsed);
  this->report.after = co_await this->ReadStandins("/admin/stats");
}

void LoadDriver::Spawn(Awaitable<void> work) {
  ++this->open_requests;
  asio::co_spawn(this->executor, std::move(work), [this](const std::exception_ptr& error) {
    if (--this->open_requests == 0) {
      this->all_done.cancel();
    }
    if (error) {
      std::rethrow_exception(error);
    }
  });
}

asio::awaitable<void> LoadDriver::WaitUntil(TimePoint time) {
  Timer timer(this->executor);
  timer.expires_at(time);
  co_await timer.async_wait(kAwaitTuple);
}

asio::awaitable<void> LoadDriver::SendArrivals() {
  ArrivalPlan plan(this->settings.workload);
  for (std::optional<Arrival> arrival = plan.Next(); arrival; arrival = plan.Next()) {
    co_await this->WaitUntil(this->started_at + arrival->at);
    if (this->open_requests >= this->settings.max_open_requests) {
      ++this->totals.not_sent;
      continue;
    }
    this->Spawn(this->RunArrival(*arrival));
  }
}

asio::awaitable<void> LoadDriver::SendEvents() {
  if (!this->settings.admin) {
    co_return;
  }
  const transport::Endpoint admin = *this->settings.admin;
  for (const TimedEvent& event : this->settings.events) {
    if (event.at > this->settings.workload.duration) {
      break;
    }
    co_await this->WaitUntil(this->started_at + event.at);
    HttpRequest request("POST", event.path);
    const bool done = (co_await this->ReadBody(admin, std::move(request))).has_value();
    ++this->totals.events[(done ? "done " : "failed ") + event.path];
  }
}

asio::awaitable<void> LoadDriver::RunArrival(Arrival arrival) {
  WorkspaceAllowance* allowance =
      this->allowances.empty() ? nullptr : &this->allowances[arrival.workspace];
  arrival.within_limits = allowance != nullptr && StartWithin(*allowance, RuntimeClock::now());
  co_await this->RunWork(arrival);
  if (arrival.within_limits) {
    ++this->totals.sent_within_limits;
    EndWithin(*allowance);
  }
}

asio::awaitable<void> LoadDriver::RunWork(Arrival arrival) {
  switch (arrival.kind) {
    case WorkKind::kDraft:
    case WorkKind::kBatch:
      return this->RunWholeChat(arrival);
    case WorkKind::kStream:
      return this->RunStream(arrival);
    case WorkKind::kLookup:
      return this->RunLookup(arrival);
    case WorkKind::kOrder:
      break;
  }
  return this->RunOrder(arrival);
}

asio::awaitable<std::optional<StandinCounts>> LoadDriver::ReadStandins(std::string target) {
  if (!this->settings.admin) {
    co_return std::nullopt;
  }
  HttpRequest request("GET", std::move(target));
  const std::optional<std::string> body =
      co_await this->ReadBody(*this->settings.admin, std::move(request));
  co_return body ? ParseStandinCounts(*body) : std::nullopt;
}

asio::awaitable<double> LoadDriver::ReadControlBytes(transport::Endpoint router) {
  HttpRequest request("GET", "/metrics");
  const std::optional<std::string> body =
      co_await this->ReadBody(std::move(router), std::move(request));
  const std::optional<double> sum = body ? SumOfMetric(*body, kControlBytesMetric) : std::nullopt;
  co_return sum.value_or(-1);
}

}  // namespace detail

std::optional<std::vector<TimedEvent>> ParseEvents(std::string_view text, std::string& reason) {
  std::vector<TimedEvent> events;
  std::istringstream lines{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::istringstream fields(line);
    double seconds = -1;
    TimedEvent event;
    std::string rest;
    if (!(fields >> seconds >> event.path) || seconds < 0 || event.path.front() != '/' ||
        fields >> rest) {
      reason = "line " + std::to_string(number) + ": must be \"<seconds> /admin/<id>/<action>\"";
      return std::nullopt;
    }
    event.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (!events.empty() && event.at < events.back().at) {
      reason = "line " + std::to_string(number) + ": is earlier than the line before";
      return std::nullopt;
    }
    events.push_back(std::move(event));
  }
  return events;
}

LoadRun::LoadRun(const asio::any_io_executor& executor, LoadSettings settings)
    : driver(std::make_unique<detail::LoadDriver>(executor, std::move(settings))) {}

LoadRun::~LoadRun() = default;

asio::awaitable<void> LoadRun::Run() {
  return this->driver->Run();
}

const LoadReport& LoadRun::Report() const {
  return this->driver->Report();
}

}  // namespace geraniumspread::load
