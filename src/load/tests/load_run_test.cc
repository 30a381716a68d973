#include "load/load_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <optional>

#include "standin/answer_text.h"
#include "transport/error_response.h"
#include "transport/http_server.h"

namespace geraniumspread::load {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using transport::FindHeader;
using transport::HttpRequest;
using transport::HttpResponder;
using transport::HttpResponse;

// Answers like a router with its upstreams behind it, and like the admin endpoint.
struct FakeRouter {
  asio::io_context io;
  // A std::function, since clang-tidy 19 misreads coroutines that it can inline.
  std::function<asio::awaitable<void>(HttpResponder&, HttpResponse)> send =
      [](HttpResponder& responder, HttpResponse response) -> asio::awaitable<void> {
    co_await responder.Send(std::move(response));
  };
  std::optional<transport::HttpServer> server;
  LoadSettings settings;
  std::map<std::string, std::string> order_answers;
  std::map<std::string, int> runs;
  int tickets = 0;
  bool runs_twice = false;
  bool damages_lookups = false;
  bool refuses_chats = false;

  FakeRouter() {
    this->server.emplace(this->io.get_executor(), transport::ServerLimits{},
                         [this](const HttpRequest& request, HttpResponder& responder) {
                           return this->Handle(request, responder);
                         });
    const std::uint16_t port = this->server->Listen({"127.0.0.1", 0}).value();
    this->settings.routers.emplace_back("127.0.0.1", port);
    this->settings.admin = this->settings.routers.front();
    this->settings.service = "orders";
    this->settings.workload.workspaces = {"w"};
    this->settings.workload.rate = 400;
    this->settings.workload.duration = std::chrono::milliseconds(200);
    this->settings.workload.repeat_share = 1;
  }

  asio::awaitable<void> Handle(const HttpRequest& request, HttpResponder& responder) {
    HttpResponse response = this->Answer(request);
    const std::string id(FindHeader(request.headers, "X-Request-Id"));
    transport::SetHeader(response.headers, "X-Request-Id", id);
    return this->send(responder, std::move(response));
  }

  HttpResponse Answer(const HttpRequest& request) {
    HttpResponse response;
    if (request.target.starts_with("/admin")) {
      json::object counts;
      for (const auto& [key, count] : this->runs) {
        counts[key] = count;
      }
      json::object unit{{"id", "s"}, {"kind", "plain_service"}, {"runs_by_key", counts}};
      response.body = json::serialize(json::object{{"units", json::array{unit}}});
    } else if (request.target == "/v1/tickets") {
      response.body = R"({"ticket":"t)" + std::to_string(++this->tickets) + R"("})";
    } else if (request.target == "/v1/chat/completions") {
      return this->AnswerChat(request);
    } else if (request.method == "GET") {
      response.body = this->damages_lookups ? "{}" : standin::LookupAnswer(request.target);
    } else {
      response.body = this->AnswerOrder(request);
    }
    return response;
  }

  std::string AnswerOrder(const HttpRequest& request) {
    const std::string key(FindHeader(request.headers, "Idempotency-Key"));
    if (!this->order_answers.contains(key) || this->runs_twice) {
      ++this->runs[key];
      this->order_answers[key] = standin::OrderAnswer(key, request.body);
    }
    return this->order_answers[key];
  }

  HttpResponse AnswerChat(const HttpRequest& request) const {
    if (this->refuses_chats) {
      transport::ErrorDescription error;
      error.status = 429;
      error.code = "over_limit";
      return transport::MakeErrorResponse(error);
    }
    const json::value body = json::parse(request.body);
    std::vector<standin::ChatMessage> messages;
    for (const json::value& message : body.at("messages").as_array()) {
      messages.push_back({"", std::string(message.at("content").as_string())});
    }
    const std::string text = standin::AnswerText(
        standin::JoinMessages(messages), static_cast<int>(body.at("max_tokens").as_int64()));
    json::object choice{{"message", json::object{{"content", text}}}, {"finish_reason", "stop"}};
    json::object answer{{"id", FindHeader(request.headers, "X-Request-Id")},
                        {"choices", json::array{choice}}};
    HttpResponse response;
    response.body = json::serialize(answer);
    return response;
  }

  // Runs one kind of work and returns the judgement.
  ExitCode Run(WorkKind kind, LoadTotals& totals_copy_of_counts) {
    this->settings.workload.mix.fill(0);
    this->settings.workload.mix.at(static_cast<std::size_t>(kind)) = 1;
    LoadRun run(this->io.get_executor(), this->settings);
    asio::co_spawn(this->io, run.Run(), [this](const std::exception_ptr& error) {
      this->io.stop();
      if (error) {
        std::rethrow_exception(error);
      }
    });
    this->io.restart();
    this->io.run();
    const LoadTotals& totals = run.Report().totals;
    totals_copy_of_counts.by_kind = totals.by_kind;
    totals_copy_of_counts.refused_ran = totals.refused_ran;
    totals_copy_of_counts.replayed_orders = totals.replayed_orders;
    totals_copy_of_counts.repeated_orders = totals.repeated_orders;
    return Judge(run.Report());
  }
};

// Guards against a driver that counts good answers without checking them.
BOOST_FIXTURE_TEST_CASE(GoodAnswersAreCounted, FakeRouter) {
  for (const WorkKind kind : {WorkKind::kDraft, WorkKind::kLookup, WorkKind::kOrder}) {
    LoadTotals totals;
    BOOST_TEST((this->Run(kind, totals) == ExitCode::kGood));
    const KindCounts& counts = totals.by_kind.at(static_cast<std::size_t>(kind));
    BOOST_TEST(counts.good > 10U);
    BOOST_TEST(counts.good == counts.sent);
  }
}

// Guards against a damaged answer that stays unnoticed in a whole run.
BOOST_FIXTURE_TEST_CASE(DamagedLookupIsReported, FakeRouter) {
  this->damages_lookups = true;
  LoadTotals totals;
  BOOST_TEST((this->Run(WorkKind::kLookup, totals) == ExitCode::kDamagedAnswer));
}

// Guards against an order that runs again for a repeated call.
BOOST_FIXTURE_TEST_CASE(OrderThatRunsTwiceIsReported, FakeRouter) {
  this->runs_twice = true;
  LoadTotals totals;
  BOOST_TEST((this->Run(WorkKind::kOrder, totals) == ExitCode::kRanTwice));
  BOOST_TEST(totals.replayed_orders > 0U);
  BOOST_TEST(totals.replayed_orders == totals.repeated_orders);
}

// Guards against a fault script that is run in part or at wrong times.
BOOST_AUTO_TEST_CASE(EventsFileIsChecked) {
  std::string reason;
  const auto events = ParseEvents("# faults\n1 /admin/a/crash\n\n2.5 /admin/b/cold\n", reason);
  const std::vector<TimedEvent> list = events.value_or(std::vector<TimedEvent>{});
  BOOST_REQUIRE(list.size() == 2U);
  BOOST_TEST((list.back().at == std::chrono::milliseconds(2500)));
  for (const char* text : {"x /a\n", "1 a\n", "1\n", "1 /a b\n", "2 /a\n1 /b\n"}) {
    BOOST_TEST(!ParseEvents(text, reason).has_value());
    BOOST_TEST(reason.starts_with("line "));
  }
}

// Guards against refusals that count as answers.
BOOST_FIXTURE_TEST_CASE(RefusalsAreCountedApart, FakeRouter) {
  this->refuses_chats = true;
  LoadTotals totals;
  BOOST_TEST((this->Run(WorkKind::kDraft, totals) == ExitCode::kNothingChecked));
  BOOST_TEST(totals.by_kind[0].refused == totals.by_kind[0].sent);
  BOOST_TEST(totals.refused_ran["no"] == totals.by_kind[0].sent);
}

}  // namespace
}  // namespace geraniumspread::load
