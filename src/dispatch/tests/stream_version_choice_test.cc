#include "dispatch/stream_version_choice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "common/hash.h"
#include "dispatch/tests/test_tables.h"

// All instances lose power while upstreams of several versions are listed, and callers take up
// the streams that were cut.
namespace geraniumspread::dispatch {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStep = 100ms;
constexpr milliseconds kTimeout = 8s;
constexpr Duration kAge = kTimeout + 5s;
constexpr milliseconds kReleaseStart = 1000s;
constexpr int kSeeds = 50;
constexpr int kInstances = 8;
constexpr auto kMaxLag = std::chrono::duration_cast<milliseconds>(kMaxListingAge);

struct Outcome {
  int taken_up = 0;
  int known = 0;
  int wrong = 0;
};

// The listings of a service over time, and instances that see them late.
class Site {
 public:
  Site(std::uint64_t seed, const std::map<std::string, int>& upstreams)
      : suffix("-" + std::to_string(seed)), random(seed) {
    for (const auto& [version, count] : upstreams) {
      for (int index = 0; index < count; ++index) {
        this->Add(milliseconds{0}, 1ms, version + "-" + std::to_string(index), version);
      }
    }
  }

  milliseconds Between(milliseconds least, milliseconds most) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(this->random));
  }

  void Remove(milliseconds at, const std::string& id) {
    this->running.erase(id);
    this->events.push_back({at, id, {}});
  }

  // Replaces upstreams of `from` one after another. Returns when the last one has left.
  milliseconds Release(milliseconds at,
                       const std::string& from,
                       const std::string& to,
                       int count,
                       milliseconds gap = 1s) {
    std::vector<std::string> ids;
    for (const auto& [id, version] : this->running) {
      if (version == from) {
        ids.push_back(id);
      }
    }
    std::ranges::shuffle(ids, this->random);
    ids.resize(std::min<std::size_t>(ids.size(), static_cast<std::size_t>(count)));
    for (const std::string& id : ids) {
      at += gap;
      this->Remove(at, id);
      const milliseconds started = at + this->Between(1s, 2s);
      this->Add(started + this->Between(0s, 3s), started, id + to, to);
    }
    return at;
  }

  // Lets instances begin streams until a power loss at `cut`, and takes up those that it cut.
  Outcome LosePower(milliseconds cut, milliseconds begin = kReleaseStart - 10s) {
    std::ranges::stable_sort(this->events, {}, &Event::at);
    std::vector<View> views(kInstances);
    for (View& view : views) {
      view.lag = this->random() % 2 == 0 ? kMaxLag : this->Between(0s, kMaxLag);
    }
    struct Stream {
      std::uint64_t chat;
      std::uint64_t version;
    };
    std::vector<Stream> interrupted;
    for (milliseconds now = std::max(begin, cut - kTimeout); now < cut; now += kStep) {
      for (View& view : views) {
        this->Follow(view, now - view.lag);
        const std::uint64_t chat = ChatKey({}, std::to_string(this->random()));
        const auto& rows = view.table.by_service.at("model");
        const std::uint64_t any = rows[this->random() % rows.size()]->version;
        const auto version = ChooseStreamVersion(view.table, "model", chat, now);
        // Half of the streams last as long as their callers wait.
        const milliseconds length =
            this->random() % 2 == 0 ? kTimeout : this->Between(1s, kTimeout);
        if (now + length > cut) {
          interrupted.push_back({chat, version.value_or(any)});
        }
      }
    }
    Outcome outcome;
    View restarted;
    this->Follow(restarted, cut + this->Between(1s, 5s));
    for (const Stream& stream : interrupted) {
      const auto version =
          InferStreamVersion(restarted.table, "model", stream.chat, kAge, restarted.at);
      ++outcome.taken_up;
      outcome.known += version ? 1 : 0;
      outcome.wrong += version && *version != stream.version ? 1 : 0;
    }
    return outcome;
  }

 private:
  struct Event {
    milliseconds at;
    std::string removed;
    UpstreamListing added;
  };
  // The listings as they were at a time.
  struct View {
    UpstreamTable table;
    milliseconds lag{0};
    milliseconds at{0};
    std::size_t applied = 0;
  };

  void Add(milliseconds at, milliseconds started, const std::string& id, const std::string& text) {
    UpstreamListing listing = test::Listing(id, "a");
    listing.version = text + this->suffix;
    listing.started_at_ms = started.count();
    this->running[id] = text;
    this->events.push_back({at, "", listing});
  }

  void Follow(View& view, milliseconds until) const {
    view.at = until;
    for (; view.applied < this->events.size() && this->events[view.applied].at <= until;
         ++view.applied) {
      const Event& event = this->events[view.applied];
      if (event.removed.empty()) {
        ApplyListing(view.table, event.added, test::kStart + until);
      } else {
        RemoveUpstream(view.table, event.removed, test::kStart + until);
      }
    }
  }

  // Of the version names, so that their hashes have all orders.
  std::string suffix;
  std::mt19937_64 random;
  std::map<std::string, std::string> running;
  std::vector<Event> events;
};

// Plays a day of each seed and adds up what became of the streams.
template <typename Day>
Outcome Play(const std::string& name, Day day) {
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = day(seed);
    sum.taken_up += outcome.taken_up;
    sum.known += outcome.known;
    sum.wrong += outcome.wrong;
  }
  BOOST_TEST_MESSAGE(name << ": " << sum.known << " of " << sum.taken_up << " known, " << sum.wrong
                          << " wrong");
  BOOST_TEST(sum.taken_up > 1000);
  BOOST_TEST(sum.wrong == 0);
  return sum;
}

// Guards against take-ups that are refused because nobody remembers the version, and against a
// guess: instances list the upstreams up to 4 s late, so they switch a chat at different times.
BOOST_AUTO_TEST_CASE(StreamsContinueAfterAPowerLossInTheMiddleOfARelease) {
  const Outcome sum = Play("release", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 140}});
    const milliseconds end = site.Release(kReleaseStart, "v1", "v2", 140);
    const milliseconds quarter = (end - kReleaseStart) / 4;
    return site.LosePower(site.Between(kReleaseStart + quarter, end - quarter));
  });
  BOOST_TEST(sum.known * 2 >= sum.taken_up);
}

// Guards against the version that left last being taken for the older of the two that are listed.
BOOST_AUTO_TEST_CASE(ASecondReleaseRightAfterTheFirstMisleadsNobody) {
  Play("second release", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 140}});
    const milliseconds first = site.Release(kReleaseStart, "v1", "v2", 140);
    site.Release(first, "v2", "v3", 140);
    return site.LosePower(site.Between(first - 10s, first + 60s));
  });
}

// Three versions are listed for a time, and one of them leaves shortly before the power loss.
BOOST_AUTO_TEST_CASE(OverlappingReleasesMisleadNobody) {
  Play("overlap", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 140}});
    const milliseconds first = site.Release(kReleaseStart, "v1", "v2", 140);
    site.Release(first - 30s, "v2", "v3", 80);
    return site.LosePower(site.Between(first - 30s, first + 30s));
  });
}

// Guards against the assumption that a release replaces a version that is still listed.
BOOST_AUTO_TEST_CASE(AVersionThatLeftWhileAnotherStayedMisleadsNobody) {
  Play("one of two replaced", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 90}, {"v2", 50}});
    const milliseconds end = site.Release(kReleaseStart, "v2", "v3", 50, 400ms);
    return site.LosePower(site.Between(kReleaseStart, end + 20s));
  });
}

// Guards against an assumption that the newer version only gains upstreams.
BOOST_AUTO_TEST_CASE(ARollbackMisleadsNobody) {
  Play("rollback", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 140}});
    const milliseconds half = site.Release(kReleaseStart, "v1", "v2", 70);
    const milliseconds end = site.Release(half + 6s, "v2", "v1", 70);
    return site.LosePower(site.Between(half, end + 20s));
  });
}

// Guards against a loss of certainty while nothing changes.
BOOST_AUTO_TEST_CASE(TwoVersionsThatServeForALongTimeAreTold) {
  const Outcome sum = Play("steady", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 100}, {"v2", 40}});
    return site.LosePower(kReleaseStart);
  });
  BOOST_TEST(sum.known * 10 >= sum.taken_up * 7);
}

// Guards against streams that are taken for those of a version that has too few upstreams to get
// any, while two others have more.
BOOST_AUTO_TEST_CASE(ThreeVersionsThatServeForALongTimeMisleadNobody) {
  Play("three", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 50}, {"v2", 46}, {"v3", 44}});
    return site.LosePower(kReleaseStart);
  });
}

// Upstreams crash during the release and aren't replaced.
BOOST_AUTO_TEST_CASE(CrashedUpstreamsMisleadNobody) {
  const Outcome sum = Play("crashes", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 60}, {"v2", 80}});
    site.Release(kReleaseStart, "v1", "v2", 30, 400ms);
    for (int index = 0; index < 12; ++index) {
      site.Remove(kReleaseStart + site.Between(0s, 12s), "v2-" + std::to_string(index));
    }
    return site.LosePower(kReleaseStart + site.Between(3s, 15s));
  });
  BOOST_TEST(sum.known > 0);
}

// Guards against instances that restart with listings up to 4 s old, begin streams at once, and
// lose power again.
BOOST_AUTO_TEST_CASE(LateListingsAfterARestartMisleadNobody) {
  const Outcome sum = Play("restart", [](std::uint64_t seed) {
    Site site(seed, {{"v1", 140}});
    const milliseconds end = site.Release(kReleaseStart, "v1", "v2", 140);
    const milliseconds restart = site.Between(kReleaseStart + 10s, end);
    return site.LosePower(restart + 4s, restart);
  });
  BOOST_TEST(sum.known * 3 >= sum.taken_up);
}

// Guards against instances that switch chats at different times, because some list a new process
// later than others.
BOOST_AUTO_TEST_CASE(AProcessIsCountedOnceAllInstancesListIt) {
  UpstreamTable early;
  UpstreamTable late;
  for (int index = 0; index < 9; ++index) {
    UpstreamListing listing = test::Listing(std::to_string(index), "a");
    listing.version = index % 2 == 0 ? "v1" : "v2";
    listing.started_at_ms = index == 8 ? 1'000'000 : 1;
    ApplyListing(early, listing, test::kStart);
    if (index != 8) {
      ApplyListing(late, listing, test::kStart);
    }
  }
  for (std::uint64_t chat = 0; chat < 100; ++chat) {
    const std::uint64_t key = ChatKey(test::ChatPrompt(chat, 1), "");
    BOOST_TEST((ChooseStreamVersion(early, "model", key, 1000s + kMaxLag) ==
                ChooseStreamVersion(late, "model", key, 1000s + kMaxLag)));
  }
}

// Guards against a version of one upstream that must serve a popular chat alone.
BOOST_AUTO_TEST_CASE(AVersionWithOneUpstreamBeginsNoStream) {
  UpstreamTable table;
  for (const char* id : {"a", "b", "c", "d"}) {
    UpstreamListing listing = test::Listing(id, "a");
    listing.version = listing.id == "d" ? "v2" : "v1";
    ApplyListing(table, listing, test::kStart);
  }
  for (std::uint64_t chat = 0; chat < 100; ++chat) {
    const std::uint64_t key = ChatKey(test::ChatPrompt(chat, 1), "");
    BOOST_TEST((ChooseStreamVersion(table, "model", key, 1h) == StableHash("v1")));
  }
}

// Guards against a chat whose requests begin at several versions, and against requests without a
// chat that all begin at the same one.
BOOST_AUTO_TEST_CASE(TheChatDecidesOrElseTheRequest) {
  BOOST_TEST(ChatKey(test::ChatPrompt(1, 1), "a") == ChatKey(test::ChatPrompt(1, 2), "b"));
  BOOST_TEST(ChatKey(test::ChatPrompt(1, 1), "a") != ChatKey(test::ChatPrompt(2, 1), "a"));
  BOOST_TEST(ChatKey({}, "a") != ChatKey({}, "b"));
}

}  // namespace
}  // namespace geraniumspread::dispatch
