#include "standin/standin_host.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <memory>
#include <vector>

#include "standin/internal/config_server.h"
#include "standin/internal/engine_server.h"
#include "standin/internal/platform_servers.h"
#include "standin/internal/service_server.h"

namespace geraniumspread::standin {
namespace detail {
namespace {

namespace asio = boost::asio;
using transport::HttpResponse;

constexpr std::string_view kAdminPrefix = "/admin/";

// Later processes get higher incarnations, and there is room for restarts.
std::uint64_t FirstIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace

class HostState final : public RequestHandler {
 public:
  HostState(asio::any_io_executor io_executor, PlatformSettings platform);

  std::optional<std::string> Start();
  void Stop();

 private:
  asio::awaitable<void> RunTicks();
  asio::awaitable<bool> Handle(transport::HttpRequest request,
                               transport::HttpResponder& responder) override;
  HttpResponse AnswerAdmin(const transport::HttpRequest& request);
  HttpResponse AllStats(bool brief) const;
  std::vector<ListedInstance> CollectInstances() const;
  HostedUnit* FindUnit(std::string_view id) const;

  asio::any_io_executor executor;
  Duration tick_time;
  std::vector<std::unique_ptr<EngineServer>> engines;
  std::vector<std::unique_ptr<ServiceServer>> services;
  std::vector<std::unique_ptr<RouterListing>> routers;
  std::vector<std::unique_ptr<HostedUnit>> platform_units;
  std::vector<HostedUnit*> units;  // all of the above
  Listener admin;
  Timer timer;
  bool stopping = false;
};

HostState::HostState(asio::any_io_executor io_executor, PlatformSettings platform)
    : executor(std::move(io_executor)),
      tick_time(platform.tick),
      admin(executor, platform.admin, *this),
      timer(executor) {
  const std::uint64_t incarnation = FirstIncarnation();
  const TimePoint now = RuntimeClock::now();
  for (HostedEngine& engine : platform.engines) {
    this->engines.push_back(
        std::make_unique<EngineServer>(this->executor, std::move(engine), incarnation, now));
    this->units.push_back(this->engines.back().get());
  }
  for (HostedService& service : platform.services) {
    this->services.push_back(
        std::make_unique<ServiceServer>(this->executor, std::move(service), incarnation));
    this->units.push_back(this->services.back().get());
  }
  for (ListedRouter& router : platform.routers) {
    this->routers.push_back(std::make_unique<RouterListing>(std::move(router)));
    this->units.push_back(this->routers.back().get());
  }
  if (platform.config_service) {
    this->platform_units.push_back(
        std::make_unique<ConfigServer>(this->executor, std::move(*platform.config_service)));
  }
  if (platform.instance_list) {
    this->platform_units.push_back(std::make_unique<InstanceListServer>(
        this->executor, *platform.instance_list, [this] { return this->CollectInstances(); }));
  }
  if (platform.weight_store) {
    this->platform_units.push_back(
        std::make_unique<WeightStoreServer>(this->executor, *platform.weight_store));
  }
  for (const auto& unit : this->platform_units) {
    this->units.push_back(unit.get());
  }
}

std::optional<std::string> HostState::Start() {
  for (HostedUnit* unit : this->units) {
    if (auto reason = unit->Start(); reason) {
      return unit->Id() + ": " + *reason;
    }
  }
  if (auto reason = this->admin.Open(); reason) {
    return "admin: " + *reason;
  }
  asio::co_spawn(this->executor, this->RunTicks(), asio::detached);
  return std::nullopt;
}

void HostState::Stop() {
  this->stopping = true;
  this->timer.cancel();
  this->admin.Close();
  for (HostedUnit* unit : this->units) {
    unit->Stop();
  }
}

asio::awaitable<void> HostState::RunTicks() {
  while (!this->stopping) {
    const TimePoint now = RuntimeClock::now();
    for (HostedUnit* unit : this->units) {
      unit->Tick(now);
    }
    this->timer.expires_at(now + this->tick_time);
    co_await this->timer.async_wait(kAwaitTuple);
  }
}

std::vector<ListedInstance> HostState::CollectInstances() const {
  std::vector<ListedInstance> instances;
  const auto collect = [&instances](const auto& group) {
    for (const auto& unit : group) {
      if (auto listing = unit->Listing(); listing) {
        instances.push_back(std::move(*listing));
      }
    }
  };
  collect(this->routers);
  collect(this->engines);
  collect(this->services);
  return instances;
}

HostedUnit* HostState::FindUnit(std::string_view id) const {
  for (HostedUnit* unit : this->units) {
    if (unit->Id() == id) {
      return unit;
    }
  }
  return nullptr;
}

asio::awaitable<bool> HostState::Handle(transport::HttpRequest request,
                                        transport::HttpResponder& responder) {
  return responder.Send(this->AnswerAdmin(request));
}

HttpResponse HostState::AllStats(bool brief) const {
  boost::json::array all;
  for (const HostedUnit* unit : this->units) {
    all.push_back(unit->Stats(brief));
  }
  return JsonResponse(boost::json::object{{"units", std::move(all)}});
}

HttpResponse HostState::AnswerAdmin(const transport::HttpRequest& request) {
  const ParsedTarget target = ParseTarget(request.target);
  if (!target.path.starts_with(kAdminPrefix)) {
    return RefusalResponse(404, "not_found", "no such endpoint", "");
  }
  const std::string rest = target.path.substr(kAdminPrefix.size());
  const bool brief = target.query.contains("brief");
  if (request.method == "GET" && rest == "stats") {
    return this->AllStats(brief);
  }
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  HostedUnit* unit = this->FindUnit(std::string_view(rest).substr(0, slash));
  if (unit == nullptr) {
    return RefusalResponse(404, "unknown_id", "no stand-in has this id", "");
  }
  Action action;
  action.name = rest.substr(std::min(rest.size(), slash + 1));
  if (request.method == "GET" && action.name == "stats") {
    return JsonResponse(unit->Stats(brief));
  }
  if (const auto time = QueryNumber(target, "ms"); time) {
    action.time = std::chrono::milliseconds(*time);
  }
  action.stays_down = target.query.contains("stay");
  if (request.method != "POST" ||
      unit->Act(action, RuntimeClock::now()) == ActionResult::kUnknownAction) {
    return RefusalResponse(400, "unknown_action", "the stand-in has no such action", "");
  }
  return JsonResponse(boost::json::object{{"done", true}});
}

}  // namespace detail

StandinHost::StandinHost(const boost::asio::any_io_executor& executor, PlatformSettings settings)
    : state(std::make_shared<detail::HostState>(executor, std::move(settings))) {}

StandinHost::~StandinHost() {
  this->Stop();
}

std::optional<std::string> StandinHost::Start() {
  return this->state->Start();
}

void StandinHost::Stop() {
  this->state->Stop();
}

}  // namespace geraniumspread::standin
