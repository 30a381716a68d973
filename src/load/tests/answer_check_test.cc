#include "load/answer_check.h"

#include <boost/test/unit_test.hpp>

#include "load/load_report.h"
#include "standin/answer_text.h"

namespace geraniumspread::load {
namespace {

const ExpectedChat kExpected{.request_id = "r1", .prompt = "hello\n", .max_tokens = 3};

std::string Event(int offset, const std::string& content, bool last, const std::string& id = "r1") {
  return "id: " + std::to_string(offset) + "\ndata: {\"id\":\"" + id +
         "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content +
         "\"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n";
}

std::string GoodEvent(int offset) {
  return Event(offset, standin::AnswerToken(standin::AnswerTag(kExpected.prompt), offset),
               offset == 2);
}

const std::string kDone = "data: [DONE]\n\n";

AnswerFault CheckStream(const std::string& bytes) {
  StreamCheck check(kExpected);
  // One byte at a time: events must be found across reads.
  for (const char byte : bytes) {
    check.Feed(std::string_view(&byte, 1));
  }
  return check.Finish().fault;
}

std::string Completion(const std::string& id, const std::string& text) {
  return R"({"id":")" + id + R"(","choices":[{"index":0,"message":{"content":")" + text +
         R"("},"finish_reason":"stop"}],"usage":{"cached_tokens":16}})";
}

// Guards against a stream check that passes any kind of damage, or refuses a good stream.
BOOST_AUTO_TEST_CASE(DamagedStreamsAreDetected) {
  const std::string good = GoodEvent(0) + GoodEvent(1) + GoodEvent(2);
  BOOST_TEST((CheckStream(good + kDone) == AnswerFault::kNone));
  BOOST_TEST((CheckStream(good) == AnswerFault::kNoFinalMarker));
  BOOST_TEST((CheckStream(GoodEvent(0) + GoodEvent(1) + kDone) == AnswerFault::kNoFinalMarker));
  BOOST_TEST((CheckStream(GoodEvent(0) + GoodEvent(2) + kDone) == AnswerFault::kOffsetGap));
  BOOST_TEST((CheckStream(GoodEvent(0) + GoodEvent(0)) == AnswerFault::kOffsetRepeat));
  BOOST_TEST((CheckStream(Event(0, "w0-x", false)) == AnswerFault::kWrongText));
  BOOST_TEST((CheckStream(Event(0, "w", false, "r2")) == AnswerFault::kOtherRequest));
  BOOST_TEST((CheckStream("data: {\"id\":1\n\n") == AnswerFault::kMalformed));
  BOOST_TEST((CheckStream(good + kDone + GoodEvent(2)) == AnswerFault::kExtraData));
  BOOST_TEST((CheckStream(Event(0, standin::AnswerToken(standin::AnswerTag("hello\n"), 0), true) +
                          kDone) == AnswerFault::kOffsetGap));
}

// Guards against a resumed stream that is checked as if it were a new one.
BOOST_AUTO_TEST_CASE(ResumedStreamContinues) {
  StreamCheck check(kExpected);
  BOOST_TEST(!check.LastEventId().has_value());
  check.Feed(GoodEvent(0) + GoodEvent(1).substr(0, 9));
  BOOST_TEST(check.LastEventId().value_or(-1) == 0);
  check.RestartConnection();
  check.Feed(GoodEvent(1) + GoodEvent(2) + kDone);
  BOOST_TEST((check.Finish().fault == AnswerFault::kNone));
}

// Guards against whole answers that are damaged or of another request.
BOOST_AUTO_TEST_CASE(DamagedWholeAnswersAreDetected) {
  const std::string text = standin::AnswerText(kExpected.prompt, 3);
  const CheckedAnswer good = CheckWholeAnswer(kExpected, "r1", Completion("r1", text));
  BOOST_TEST((good.fault == AnswerFault::kNone));
  BOOST_TEST(good.cached_tokens.value_or(0) == 16U);
  const auto fault = [](std::string_view header, const std::string& body) {
    return CheckWholeAnswer(kExpected, header, body).fault;
  };
  BOOST_TEST((fault("r1", Completion("r1", text + "x")) == AnswerFault::kWrongText));
  BOOST_TEST((fault("r2", Completion("r1", text)) == AnswerFault::kOtherRequest));
  BOOST_TEST((fault("r1", Completion("r2", text)) == AnswerFault::kOtherRequest));
  BOOST_TEST((fault("r1", Completion("r1", text).substr(0, 40)) == AnswerFault::kMalformed));
  BOOST_TEST(
      (CheckLookup("r1", "/a", "r1", standin::LookupAnswer("/b")) == AnswerFault::kWrongText));
  BOOST_TEST((CheckOrder("r1", "k", "body", "r1", standin::OrderAnswer("k", "other")) ==
              AnswerFault::kWrongText));
}

// Guards against an exit code of 0 when the stand-ins show a violation.
BOOST_AUTO_TEST_CASE(ViolationsDecideTheExitCode) {
  LoadTotals totals;
  LoadReport report{totals};
  BOOST_TEST((Judge(report) == ExitCode::kNothingChecked));
  totals.by_kind[0].good = 1;
  totals.tickets = {"t"};
  totals.answered_tickets = {"t"};
  report.after.emplace();
  report.after->runs_by_key["t"] = 1;
  BOOST_TEST((Judge(report) == ExitCode::kGood));
  totals.refused_ran["not stated"] = 1;
  BOOST_TEST((Judge(report) == ExitCode::kRunNotStated));
  totals.not_run_requests = {"r"};
  report.after->runs_by_request_id["r"] = 1;
  BOOST_TEST((Judge(report) == ExitCode::kFalseNotRun));
  report.after->runs_by_key["t"] = 2;
  BOOST_TEST((Judge(report) == ExitCode::kRanTwice));
  report.after->runs_by_key["t"] = 0;
  BOOST_TEST((Judge(report) == ExitCode::kDamagedAnswer));
}

// Guards against figures computed from the wrong samples.
BOOST_AUTO_TEST_CASE(FiguresAreComputed) {
  MeasuredTimes times;
  for (int index = 1; index <= 100; ++index) {
    times.Add(std::chrono::milliseconds(index));
  }
  BOOST_TEST(times.QuantileMs(0.5) == 50, boost::test_tools::tolerance(0.1));
  BOOST_TEST(times.QuantileMs(0.99) == 99, boost::test_tools::tolerance(0.1));
  StandinCounts before;
  StandinCounts after;
  before.engines = {{.id = "a", .requests = 100}, {.id = "b", .requests = 0}};
  after.engines = {{.id = "a", .requests = 130}, {.id = "b", .requests = 10}};
  BOOST_TEST(RequestSkew(before, after) == 1.5);
  const std::string metrics = "# HELP x\nx_total{a=\"b c\"} 2\nx_total 3.5\nx_total_other 9\n";
  BOOST_TEST(SumOfMetric(metrics, "x_total").value_or(0) == 5.5);
  BOOST_TEST(!SumOfMetric(metrics, "y").has_value());
}

}  // namespace
}  // namespace geraniumspread::load
