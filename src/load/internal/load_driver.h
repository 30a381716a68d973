#ifndef LOAD_INTERNAL_LOAD_DRIVER_H_
#define LOAD_INTERNAL_LOAD_DRIVER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/runtime_timer.h"
#include "load/load_run.h"
#include "load/workspace_allowance.h"
#include "transport/http_client.h"

namespace geraniumspread::load::detail {

using Timer = RuntimeTimer;
inline constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// How one request ended.
enum class RequestEnd : std::uint8_t { kGood, kRefusedNotRun, kRefused, kFailed, kDamaged };

// One turn of a chat on its way.
struct ChatTurn {
  Arrival arrival;
  std::shared_ptr<Chat> chat;
  std::vector<standin::ChatMessage> messages;
  ExpectedChat expected;
  TimePoint sent_at;
  TimePoint last_token_at;
  int tokens = 0;
};

// One order and the calls that ask for it.
struct Order {
  Arrival arrival;
  std::string request_id;
  std::string ticket;
  std::string body;
  int open_calls = 0;
  bool answered = false;
  bool all_not_run = true;
};

class LoadDriver {
 public:
  LoadDriver(boost::asio::any_io_executor io_executor, LoadSettings load_settings);

  boost::asio::awaitable<void> Run();
  const LoadReport& Report() const { return this->report; }

 private:
  using Response = transport::Result<transport::HttpResponse>;
  template <typename T>
  using Awaitable = boost::asio::awaitable<T>;

  // Orchestration.
  void Spawn(Awaitable<void> work);
  Awaitable<void> SendArrivals();
  Awaitable<void> SendEvents();
  Awaitable<void> WaitUntil(TimePoint time);
  Awaitable<void> RunArrival(Arrival arrival);
  Awaitable<void> RunWork(Arrival arrival);
  Awaitable<std::optional<StandinCounts>> ReadStandins(std::string target);
  // Empty without an answer of status 200.
  Awaitable<std::optional<std::string>> ReadBody(transport::Endpoint endpoint,
                                                 transport::HttpRequest request);
  // Negative when the router has no such counter.
  Awaitable<double> ReadControlBytes(transport::Endpoint router);

  // Requests.
  Awaitable<Response> Start(std::unique_ptr<transport::HttpExchange>& exchange,
                            const transport::HttpRequest& request,
                            std::size_t router,
                            transport::ConnectionPolicy policy);
  Awaitable<Response> FetchWhole(const transport::HttpRequest& request,
                                 std::size_t router,
                                 transport::ConnectionPolicy policy);
  Awaitable<void> RunWholeChat(Arrival arrival);
  Awaitable<void> RunStream(Arrival arrival);
  Awaitable<RequestEnd> StreamOnce(ChatTurn& turn, StreamCheck& check, std::size_t router);
  Awaitable<void> RunLookup(Arrival arrival);
  Awaitable<void> RunOrder(Arrival arrival);
  Awaitable<std::optional<std::string>> TakeTicket(Arrival arrival, std::string request_id);
  Awaitable<void> CallOrder(std::shared_ptr<Order> order, std::size_t router, bool repeat);

  ChatTurn BeginTurn(const Arrival& arrival);
  void EndTurn(ChatTurn& turn, RequestEnd end, const CheckedAnswer& checked);
  transport::HttpRequest ChatRequest(const ChatTurn& turn) const;
  transport::HttpHeaders CommonHeaders(const Arrival& arrival, const std::string& request_id) const;
  std::string NextRequestId();

  // Counting.
  SecondCounts& CurrentSecond();
  void CountSent(WorkKind kind);
  void CountEnd(WorkKind kind, RequestEnd end);
  RequestEnd CountRefusal(const Arrival& arrival, const transport::HttpResponse& response);
  RequestEnd CountFailure(const transport::TransportError& error);
  RequestEnd CountChecked(AnswerFault fault);
  void CountTokens(ChatTurn& turn, int tokens);

  boost::asio::any_io_executor executor;
  LoadSettings settings;
  transport::HttpConnectionPool pool;
  transport::ExchangeTimeouts timeouts;
  LoadTotals totals;
  LoadReport report{totals};
  std::vector<ChatTable> chats;                // by workspace
  std::vector<WorkspaceAllowance> allowances;  // by workspace; empty without limits
  TimePoint started_at;
  std::size_t open_requests = 0;
  std::uint64_t last_request = 0;
  Timer all_done;
};

}  // namespace geraniumspread::load::detail

#endif  // LOAD_INTERNAL_LOAD_DRIVER_H_
