#ifndef STANDIN_INTERNAL_CONFIG_SERVER_H_
#define STANDIN_INTERNAL_CONFIG_SERVER_H_

#include <filesystem>
#include <memory>
#include <set>
#include <string>

#include "standin/internal/hosted_unit.h"
#include "standin/internal/listener.h"
#include "standin/platform_settings.h"
#include "standin/rate_limit.h"

namespace geraniumspread::standin::detail {

struct StoredManifest {
  std::uint64_t version = 0;
  std::string bytes;
};

// The configuration service: serves a folder that geranium_ctl writes.
class ConfigServer final : public HostedUnit, public RequestHandler {
 public:
  ConfigServer(const boost::asio::any_io_executor& io_executor, ConfigServiceSettings config);

  const std::string& Id() const override { return this->id; }
  std::optional<std::string> Start() override;
  void Stop() override;
  void Tick(TimePoint now) override;
  ActionResult Act(const Action& action, TimePoint now) override;
  boost::json::object Stats(bool brief) const override;

 private:
  boost::asio::awaitable<bool> Handle(transport::HttpRequest request,
                                      transport::HttpResponder& responder) override;
  boost::asio::awaitable<bool> HandleManifest(ParsedTarget target,
                                              transport::HttpResponder& responder);
  boost::asio::awaitable<void> WaitForVersion(std::uint64_t after,
                                              TimePoint deadline,
                                              transport::HttpResponder& responder);
  transport::HttpResponse AnswerShard(const std::string& digest) const;
  void RereadManifest();
  void WakeWatches();

  std::string id = "config";
  boost::asio::any_io_executor executor;
  ConfigServiceSettings settings;
  Listener listener;
  RateLimit limit;
  std::optional<StoredManifest> manifest;
  std::filesystem::file_time_type manifest_time;
  std::uintmax_t manifest_size = 0;
  TimePoint next_reread;
  bool stale = false;
  bool stopping = false;
  int waiting = 0;
  std::set<std::shared_ptr<Signal>> watches;
  std::uint64_t calls = 0;
  std::uint64_t refused = 0;
  int peak_waiting = 0;
};

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_CONFIG_SERVER_H_
