#ifndef STANDIN_INTERNAL_SERVICE_SERVER_H_
#define STANDIN_INTERNAL_SERVICE_SERVER_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "standin/instance_list.h"
#include "standin/internal/hosted_unit.h"
#include "standin/internal/listener.h"
#include "standin/platform_settings.h"

namespace geraniumspread::standin::detail {

struct PendingCall {
  explicit PendingCall(const boost::asio::any_io_executor& executor) : signal(executor) {}

  std::uint64_t number = 0;
  std::string body;
  bool finished = false;
  bool aborted = false;
  Signal signal;
};

// Serves a simulated plain service by HTTP. Every path is a resource.
class ServiceServer final : public HostedUnit, public RequestHandler {
 public:
  ServiceServer(const boost::asio::any_io_executor& io_executor,
                HostedService hosted,
                std::uint64_t incarnation);

  const std::string& Id() const override { return this->settings.service.id; }
  std::optional<std::string> Start() override { return this->listener.Open(); }
  void Stop() override;
  void Tick(TimePoint now) override;
  ActionResult Act(const Action& action, TimePoint now) override;
  boost::json::object Stats(bool brief) const override;

  // Empty while the platform doesn't list the instance.
  std::optional<ListedInstance> Listing() const;

 private:
  boost::asio::awaitable<bool> Handle(transport::HttpRequest request,
                                      transport::HttpResponder& responder) override;
  boost::asio::awaitable<bool> SendAnswer(transport::HttpResponder& responder,
                                          std::string request_id,
                                          std::string body);
  void Abandon(const std::shared_ptr<PendingCall>& call);
  void Crash(const Action& action, TimePoint now);
  void AbortAll();

  boost::asio::any_io_executor executor;
  HostedService settings;
  PlainService service;
  Listener listener;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingCall>> calls;
  bool listed = true;
  bool leaving = false;
  bool truncate_next = false;
  bool wrong_id_next = false;
  std::optional<TimePoint> accepts_from;  // set while connections are refused for a time
};

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_SERVICE_SERVER_H_
