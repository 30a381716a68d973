#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "router/tests/deployment_fixture.h"

namespace geraniumspread::router {
namespace {

namespace asio = boost::asio;
using transport::Endpoint;
using transport::ExchangeTimeouts;
using transport::HttpRequest;
using transport::HttpResponse;

HttpRequest ChatRequest(const std::string& chat, bool stream) {
  HttpRequest request("POST", "/v1/chat/completions");
  request.headers = {{"X-Workspace", "w"}, {"X-Chat-Id", chat}, {"X-Request-Id", "id-" + chat}};
  request.body = std::string(R"({"model":"m","max_tokens":5,"stream":)") +
                 (stream ? "true" : "false") +
                 R"(,"messages":[{"role":"user","content":"hello there"}]})";
  return request;
}

HttpRequest OrderRequest(const std::string& ticket, const std::string& body) {
  HttpRequest request("POST", "/v1/services/orders/plaques", {}, body);
  request.headers = {{"X-Workspace", "w"}};
  if (!ticket.empty()) {
    request.headers.push_back({"Idempotency-Key", ticket});
  }
  return request;
}

std::string CodeOf(const HttpResponse& response) {
  return std::string(transport::FindHeader(response.headers, "X-Error-Code"));
}

// The text of a whole stream; empty unless its final marker is there.
std::string StreamText(const std::string& body) {
  std::string text;
  std::size_t at = 0;
  while ((at = body.find("data: ", at)) != std::string::npos) {
    at += 6;
    const std::string data = body.substr(at, body.find('\n', at) - at);
    if (data == "[DONE]") {
      return text;
    }
    text += boost::json::parse(data).at_pointer("/choices/0/delta/content").as_string();
  }
  return {};
}

// Guards against a path that is broken anywhere between caller and engine: both
// routers give the same whole answer to the same chat, streamed or not.
BOOST_FIXTURE_TEST_CASE(ChatsAreAnsweredWholeThroughEveryRouter, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    std::vector<std::string> texts;
    for (const std::size_t router : {0U, 1U}) {
      const HttpResponse whole = co_await deployment.Send(router, ChatRequest("c1", false));
      BOOST_REQUIRE_MESSAGE(whole.status == 200, whole.body);
      BOOST_TEST(transport::FindHeader(whole.headers, "X-Request-Id") == "id-c1");
      texts.emplace_back(
          boost::json::parse(whole.body).at_pointer("/choices/0/message/content").as_string());
      const HttpResponse stream = co_await deployment.Send(router, ChatRequest("c1", true));
      BOOST_REQUIRE_MESSAGE(stream.status == 200, stream.body);
      texts.push_back(StreamText(stream.body));
    }
    for (const std::string& text : texts) {
      BOOST_TEST(!text.empty());
      BOOST_TEST(text == texts.front());
    }
  }(*this));
}

// Guards against an order that runs twice when it is repeated through another
// router, and against a ticket that is used for another order.
BOOST_FIXTURE_TEST_CASE(OrderRunsOnceThroughTwoRouters, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    const HttpResponse without = co_await deployment.Send(0, OrderRequest("", "order 7"));
    BOOST_TEST(without.status == 428);
    BOOST_TEST(transport::FindHeader(without.headers, "X-Ran") == "no");
    const std::string ticket(transport::FindHeader(without.headers, "X-Ticket"));
    const HttpResponse first = co_await deployment.Send(0, OrderRequest(ticket, "order 7"));
    BOOST_REQUIRE_MESSAGE(first.status == 200, first.body);
    const HttpResponse repeat = co_await deployment.Send(1, OrderRequest(ticket, "order 7"));
    BOOST_TEST(repeat.status == 200);
    BOOST_TEST(repeat.body == first.body);
    BOOST_TEST(transport::FindHeader(repeat.headers, "X-Replayed") == "true");
    const HttpResponse other = co_await deployment.Send(1, OrderRequest(ticket, "order 8"));
    BOOST_TEST(other.status == 422);
    // The order has run, so a refusal of a faulty repeat must not say that it has not.
    HttpRequest faulty = OrderRequest(ticket, "order 7");
    transport::SetHeader(faulty.headers, "X-Workspace", "other");
    const HttpResponse refused = co_await deployment.Send(1, faulty);
    BOOST_TEST(refused.status == 403);
    BOOST_TEST(transport::FindHeader(refused.headers, "X-Ran") == "unknown");
  }(*this));
}

// Guards against a planned stop that loses the answers of finished orders: the
// successor replays them.
BOOST_FIXTURE_TEST_CASE(TicketsSurviveAPlannedStop, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    const HttpResponse without = co_await deployment.Send(0, OrderRequest("", "order 9"));
    const std::string ticket(transport::FindHeader(without.headers, "X-Ticket"));
    const HttpResponse first = co_await deployment.Send(0, OrderRequest(ticket, "order 9"));
    BOOST_REQUIRE_MESSAGE(first.status == 200, first.body);
    bool stopped = false;
    deployment.routers[0]->BeginStop([&stopped] { stopped = true; });
    RuntimeTimer timer(deployment.io);
    while (!stopped) {
      timer.expires_after(std::chrono::milliseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
    }
    const HttpResponse repeat = co_await deployment.Send(1, OrderRequest(ticket, "order 9"));
    BOOST_TEST(repeat.status == 200);
    BOOST_TEST(repeat.body == first.body);
  }(*this));
}

// Guards against a request that is refused without a stable code or without
// saying that it has not run.
BOOST_FIXTURE_TEST_CASE(WrongRequestsGetOneClearError, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    co_await deployment.WaitUntilReady();
    HttpRequest no_workspace = ChatRequest("c", false);
    no_workspace.headers.clear();
    HttpRequest bad_json = ChatRequest("c", false);
    bad_json.body = "{";
    HttpRequest bad_model = ChatRequest("c", false);
    bad_model.body = R"({"model":"other","messages":[{"role":"user","content":"x"}]})";
    HttpRequest bad_priority = ChatRequest("c", false);
    transport::SetHeader(bad_priority.headers, "X-Priority", "urgent");
    const std::vector<HttpRequest> requests = {no_workspace, bad_json, bad_model, bad_priority};
    const std::string_view codes[] = {"unknown_workspace", "invalid_json", "unknown_model",
                                      "invalid_priority"};
    for (std::size_t index = 0; index < requests.size(); ++index) {
      const HttpResponse response = co_await deployment.Send(0, requests[index]);
      BOOST_TEST(CodeOf(response) == codes[index]);
      BOOST_TEST(transport::FindHeader(response.headers, "X-Ran") == "no");
    }
  }(*this));
}

// Guards against a stranger that feeds requests to the peer port.
BOOST_FIXTURE_TEST_CASE(UnsignedPeerRequestIsRefused, Deployment) {
  this->Run([](Deployment& deployment) -> asio::awaitable<void> {
    const Endpoint peer("127.0.0.1", deployment.router_settings[0].listen.peer_port);
    HttpRequest request("POST", "/internal/forward");
    transport::SetHeader(request.headers, "X-Peer-Mac", std::string(64, '0'));
    const auto response =
        co_await transport::Fetch(deployment.pool, peer, request, ExchangeTimeouts{}, kMaxBody);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().status == 403);
  }(*this));
}

}  // namespace
}  // namespace geraniumspread::router
