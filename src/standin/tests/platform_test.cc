#include <boost/test/unit_test.hpp>

#include "standin/answer_text.h"
#include "standin/instance_list.h"
#include "standin/plain_service.h"
#include "standin/platform_settings.h"
#include "standin/rate_limit.h"

namespace geraniumspread::standin {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

// Guards against a limit that lets more calls through in any second, forgets
// waiting watches, or never recovers.
BOOST_AUTO_TEST_CASE(RateLimitCountsCallsAndWaitingWatches) {
  RateLimit limit;
  limit.calls_per_second = 10;
  int allowed = 0;
  for (int index = 0; index < 30; ++index) {
    allowed += TryCall(limit, 4, kStart + milliseconds(index * 30)) ? 1 : 0;
  }
  BOOST_TEST(allowed == 6);
  BOOST_TEST(TryCall(limit, 0, kStart + milliseconds(900)));
  BOOST_TEST(TryCall(limit, 9, kStart + milliseconds(3000)));
  BOOST_TEST(!TryCall(limit, 9, kStart + milliseconds(3000)));
  BOOST_TEST(!TryCall(limit, 10, kStart + milliseconds(9000)));
}

// Guards against counting a call by its answer instead of its run: a call whose
// caller has gone or whose service crashed has run all the same.
BOOST_AUTO_TEST_CASE(ServiceCountsEveryRun) {
  PlainServiceSettings settings;
  settings.capacity = 1;
  PlainService service = MakePlainService(settings, 1);
  const ServiceCall call{.method = "POST", .target = "/", .idempotency_key = "k", .body = "b"};
  const std::uint64_t first = SubmitCall(service, call, kStart);
  const std::uint64_t second = SubmitCall(service, call, kStart);
  BOOST_TEST(service.stats.runs_by_key["k"] == 1);
  AbandonCall(service, first);
  AbandonCall(service, second);
  const ServiceTick tick = TickService(service, kStart + milliseconds(10));
  BOOST_REQUIRE(tick.finished.size() == 1U);
  BOOST_TEST(tick.finished.front().number == first);
  BOOST_TEST(tick.finished.front().body == OrderAnswer("k", "b"));
  SubmitCall(service, call, kStart + milliseconds(20));
  CrashService(service, kStart + milliseconds(21), milliseconds(10));
  BOOST_TEST(service.stats.runs_by_key["k"] == 2);
  BOOST_TEST(TickService(service, kStart + milliseconds(31)).restarted);
  BOOST_TEST(service.incarnation == 2U);
  BOOST_TEST(service.calls.empty());
}

// Guards against a list that shows changes at once, or revisions without a change.
BOOST_AUTO_TEST_CASE(InstanceListLags) {
  InstanceList list;
  list.lag = milliseconds(500);
  ListedInstance instance;
  instance.id = "engine-1";
  instance.kind = "model_engine";
  PublishInstances(list, {instance}, kStart);
  PublishInstances(list, {instance}, kStart + milliseconds(10));
  BOOST_TEST(list.revision == 1U);
  instance.leaving = true;
  PublishInstances(list, {instance}, kStart + milliseconds(1000));
  const std::string early = ServeInstances(list, kStart + milliseconds(1499));
  BOOST_TEST(early.find("\"live\"") != std::string::npos);
  const std::string late = ServeInstances(list, kStart + milliseconds(1500));
  BOOST_TEST(late.find("\"leaving\"") != std::string::npos);
}

std::string ErrorOf(const std::string& text) {
  const auto settings = ParsePlatformSettings(text, "platform.toml");
  return settings ? "" : ToString(settings.error());
}

// Guards against settings that are accepted with a mistake, or refused without
// the key and the reason.
BOOST_AUTO_TEST_CASE(SettingsErrorsNameTheKey) {
  const std::string admin = "[admin]\nport = 21404\n";
  BOOST_TEST(ErrorOf(admin).empty());
  BOOST_TEST(ErrorOf("") == "platform.toml: admin is missing");
  BOOST_TEST(ErrorOf(admin + "[admin]\n").find("line 3") != std::string::npos);
  BOOST_TEST(ErrorOf("[admin]\nport = 70000\n") ==
             "platform.toml: admin.port must be from 1 to 65535");
  BOOST_TEST(ErrorOf(admin + "[process]\ntick = 5\n") ==
             "platform.toml: process.tick is not a known key");
  BOOST_TEST(ErrorOf(admin + "[engine_defaults]\ncold_slowdown = \"2\"\n")
                 .starts_with("platform.toml: engine_defaults.cold_slowdown must be a number"));
  const std::string engine =
      "[[engine]]\nid = \"e\"\npool = \"p\"\nmodel = \"m\"\nfailure_domain = \"a\"\nport = 21301\n";
  BOOST_TEST(ErrorOf(admin + engine).empty());
  BOOST_TEST(ErrorOf(admin + engine + engine) ==
             "platform.toml: engine[1].id \"e\" is reserved or used twice");
}

}  // namespace
}  // namespace geraniumspread::standin
