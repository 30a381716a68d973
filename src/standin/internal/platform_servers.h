#ifndef STANDIN_INTERNAL_PLATFORM_SERVERS_H_
#define STANDIN_INTERNAL_PLATFORM_SERVERS_H_

#include <functional>
#include <string>
#include <vector>

#include "standin/instance_list.h"
#include "standin/internal/hosted_unit.h"
#include "standin/internal/listener.h"
#include "standin/platform_settings.h"
#include "standin/rate_limit.h"

namespace geraniumspread::standin::detail {

// Serves the lagging instance list.
class InstanceListServer final : public HostedUnit, public RequestHandler {
 public:
  // `collect` gives the instances as they are now.
  InstanceListServer(const boost::asio::any_io_executor& io_executor,
                     const InstanceListSettings& settings,
                     std::function<std::vector<ListedInstance>()> collect_instances);

  const std::string& Id() const override { return this->id; }
  std::optional<std::string> Start() override { return this->listener.Open(); }
  void Stop() override { this->listener.Close(); }
  void Tick(TimePoint now) override;
  ActionResult Act(const Action& action, TimePoint now) override;
  boost::json::object Stats(bool brief) const override;

 private:
  boost::asio::awaitable<bool> Handle(transport::HttpRequest request,
                                      transport::HttpResponder& responder) override;

  std::string id = "instances";
  std::function<std::vector<ListedInstance>()> collect;
  InstanceList list;
  Listener listener;
  bool stale = false;
  std::uint64_t calls = 0;
};

// Serves weights of one size under any name, up to a rate.
class WeightStoreServer final : public HostedUnit, public RequestHandler {
 public:
  WeightStoreServer(const boost::asio::any_io_executor& io_executor,
                    const WeightStoreSettings& store_settings);

  const std::string& Id() const override { return this->id; }
  std::optional<std::string> Start() override { return this->listener.Open(); }
  void Stop() override { this->listener.Close(); }
  void Tick(TimePoint) override {}
  ActionResult Act(const Action& action, TimePoint now) override;
  boost::json::object Stats(bool brief) const override;

 private:
  boost::asio::awaitable<bool> Handle(transport::HttpRequest request,
                                      transport::HttpResponder& responder) override;

  std::string id = "weights";
  WeightStoreSettings settings;
  RateLimit limit;
  Listener listener;
  std::uint64_t calls = 0;
  std::uint64_t refused = 0;
};

// A router that is only listed: its entry in the instance list can be changed.
class RouterListing final : public HostedUnit {
 public:
  explicit RouterListing(ListedRouter listed_router) : router(std::move(listed_router)) {}

  const std::string& Id() const override { return this->router.id; }
  std::optional<std::string> Start() override { return std::nullopt; }
  void Stop() override {}
  void Tick(TimePoint) override {}
  ActionResult Act(const Action& action, TimePoint now) override;
  boost::json::object Stats(bool brief) const override;
  std::optional<ListedInstance> Listing() const;

 private:
  ListedRouter router;
  bool listed = true;
  bool leaving = false;
};

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_PLATFORM_SERVERS_H_
