#ifndef STANDIN_INTERNAL_ENGINE_SERVER_H_
#define STANDIN_INTERNAL_ENGINE_SERVER_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "standin/engine.h"
#include "standin/instance_list.h"
#include "standin/internal/hosted_unit.h"
#include "standin/internal/listener.h"
#include "standin/platform_settings.h"

namespace geraniumspread::standin::detail {

// What the core has produced for one request and the connection has not sent yet.
struct PendingAnswer {
  explicit PendingAnswer(const boost::asio::any_io_executor& executor) : signal(executor) {}

  RequestNumber number = 0;
  SubmitResult submitted;
  std::string request_id;
  std::uint32_t tag = 0;
  int written = 0;
  int produced = 0;
  int cached_tokens = 0;
  bool finished = false;
  bool truncated = false;
  bool aborted = false;
  Signal signal;

  bool HasNews() const {
    return this->produced > this->written || this->finished || this->truncated || this->aborted;
  }
};

// Serves a simulated engine by HTTP.
class EngineServer final : public HostedUnit, public RequestHandler {
 public:
  EngineServer(const boost::asio::any_io_executor& io_executor,
               HostedEngine hosted,
               std::uint64_t incarnation,
               TimePoint now);

  const std::string& Id() const override { return this->settings.engine.id; }
  std::optional<std::string> Start() override { return this->listener.Open(); }
  void Stop() override;
  void Tick(TimePoint now) override;
  ActionResult Act(const Action& action, TimePoint now) override;
  boost::json::object Stats(bool brief) const override;

  // Empty while the platform doesn't list the instance.
  std::optional<ListedInstance> Listing() const;

 private:
  using Request = transport::HttpRequest;
  using Responder = transport::HttpResponder;
  template <typename T>
  using Awaitable = boost::asio::awaitable<T>;

  Awaitable<bool> Handle(Request request, Responder& responder) override;
  Awaitable<bool> HandleChat(Request request, Responder& responder);
  Awaitable<bool> SendStream(std::shared_ptr<PendingAnswer> answer, Responder& responder);
  Awaitable<bool> SendWhole(std::shared_ptr<PendingAnswer> answer, Responder& responder);
  transport::HttpResponse Answer(const Request& request);
  transport::HttpResponse AnswerOrder(const Request& request);
  transport::HttpResponse AnswerExport(const Request& request);
  transport::HttpResponse AnswerImport(const Request& request, const std::string& chat);
  void Abandon(const std::shared_ptr<PendingAnswer>& answer);
  void ApplyEvents(const std::vector<EngineEvent>& events);
  void AbortAll();

  boost::asio::any_io_executor executor;
  HostedEngine settings;
  Engine engine;
  Listener listener;
  std::unordered_map<RequestNumber, std::shared_ptr<PendingAnswer>> answers;
  bool listed = true;
  bool leaving = false;
  std::optional<TimePoint> accepts_from;  // set while connections are refused for a time
};

}  // namespace geraniumspread::standin::detail

#endif  // STANDIN_INTERNAL_ENGINE_SERVER_H_
