#ifndef DISPATCH_TESTS_SIMULATED_LOAD_H_
#define DISPATCH_TESTS_SIMULATED_LOAD_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/peer_table.h"
#include "dispatch/selection.h"
#include "dispatch/tests/simulated_instance.h"

// Simulates a fleet of instances in front of the engines of one service, without a
// network. Each instance chooses engines by its own tables, which responses and
// digests update.
namespace geraniumspread::dispatch::test {

// A kind of request: its share of the traffic, number of subjects, tokens and service
// time.
struct RequestKind {
  double per_second = 0;
  std::size_t subjects = 0;
  std::size_t first_parts = 0;
  std::uint32_t first_tokens = 0;
  std::uint32_t subject_tokens = 0;
  std::uint32_t own_tokens = 0;
  std::size_t body_bytes = 0;
  // Mean time at an engine after the first output, and the standard deviation of its
  // logarithm.
  std::chrono::duration<double> duration{0};
  double spread = 0;
  Duration latency_goal{0};
};

// One failure domain goes out of service half a second after the start of traffic. A
// second after the start, the requests are counted for `counted`.
struct LoadPattern {
  std::size_t instances = 84;
  std::size_t engines = 140;
  std::uint32_t slots = 32;
  double tokens_per_ms = 38.4;
  std::vector<std::string> domains = {"a", "b", "c", "d"};
  bool has_domain_outage = true;
  // This many engines take `slow_factor` times as long, which no instance is told.
  std::size_t slow_engines = 0;
  double slow_factor = 4;
  // Long prompts, short drafts and long streams, in about equal numbers.
  std::vector<RequestKind> kinds = {
      {146, 426, 4, 2520, 6100, 580, 9200, std::chrono::milliseconds(330), 0.85},
      {187, 577, 80, 341, 1700, 360, 2400, std::chrono::milliseconds(120), 1.0},
      {122, 569, 80, 103, 500, 110, 710, std::chrono::milliseconds(1640), 0.6}};
  // While requests are counted, the rate of the first kind is multiplied by this.
  double burst = 1;
  // Share of the first kind that has one popular subject.
  double popular = 0;
  // At the start, the home of each subject caches its shared parts. Without this, the caches of
  // the engines are empty.
  bool is_warm = false;
  // Engines transfer cached parts to each other.
  bool has_transfers = true;
  Duration counted = std::chrono::seconds(5);
};

struct LoadCounts {
  std::size_t sent = 0;
  std::size_t above_bound = 0;
  // By kind.
  std::vector<std::size_t> sent_of = std::vector<std::size_t>(3);
  std::vector<std::size_t> on_time_of = std::vector<std::size_t>(3);
  // Tokens of prompts that engines computed, and those of them that belong to shared parts which
  // some engine had computed before.
  double prefilled = 0;
  double prefilled_again = 0;
};

class LoadedFleet {
 public:
  LoadedFleet(LoadPattern load_pattern, SelectionSettings selection_settings, unsigned seed)
      : pattern(std::move(load_pattern)), settings(selection_settings), random(seed) {
    this->settings.prefill_tokens_per_ms = this->pattern.tokens_per_ms;
    this->engines.resize(this->pattern.engines);
    for (std::size_t index = 0; index < this->pattern.instances; ++index) {
      this->AddInstance(index);
    }
    for (Engine& engine : this->engines) {
      engine.slowness = std::uniform_real_distribution<double>(0.85, 1.15)(this->random);
    }
    for (std::size_t index = 0; index < this->pattern.slow_engines; ++index) {
      this->engines[index].slowness *= this->pattern.slow_factor;
    }
    // Connections are distributed by a hash of few callers, and therefore unevenly.
    std::vector<double> weights(this->pattern.instances);
    std::ranges::generate(
        weights, [this] { return std::exponential_distribution<double>(1)(this->random) + 0.2; });
    this->instance_of = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (auto& one : this->instances) {
      for (auto& other : this->instances) {
        ApplyDigest(other->peers, other->table, one->MakeDigest(this->now), this->now);
      }
    }
    this->SetRates(1);
    for (std::size_t kind = 0; this->pattern.is_warm && kind < this->pattern.kinds.size(); ++kind) {
      this->WarmHomes(kind);
    }
  }

  LoadCounts Run() {
    using namespace std::chrono_literals;
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
      this->At(this->Random(200ms), [this, index] { this->SendDigests(index); });
    }
    if (this->pattern.has_domain_outage) {
      this->At(500ms, [this] {
        for (auto& instance : this->instances) {
          instance->table.domains_out_of_service.insert(this->pattern.domains.back());
        }
      });
    }
    this->At(1s, [this] {
      this->is_counting = true;
      this->SetRates(this->pattern.burst);
    });
    this->At(0ms, [this] { this->Arrive(); });
    const TimePoint end = this->now + 1s + this->pattern.counted;
    while (!this->events.empty() && this->events.top().at < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.act();
    }
    return this->counts;
  }

 private:
  struct Engine {
    std::uint32_t running = 0;
    // Prefill handles one prompt at a time and delays the output of all requests.
    TimePoint reads_until;
    PromptCacheModel cache;
    double slowness = 1;
  };

  struct Event {
    TimePoint at;
    std::function<void()> act;
    bool operator<(const Event& other) const { return this->at > other.at; }
  };

  // Mean size of the groups in which requests arrive simultaneously.
  static constexpr double kMeanGroup = 3;
  static constexpr Duration kOnTheWay = std::chrono::milliseconds(2);
  static constexpr Duration kFirstOutput = std::chrono::milliseconds(60);
  static constexpr double kFetchMs = 8;
  static constexpr std::uint64_t kCacheTokens = 200'000;
  static constexpr double kLoadFactor = 2;
  static constexpr double kLoadSlack = 3;

  const std::string& DomainOf(std::size_t index) const {
    return this->pattern.domains[index % this->pattern.domains.size()];
  }

  void AddInstance(std::size_t index) {
    auto instance = std::make_unique<SimulatedInstance>(index, this->DomainOf(index));
    for (std::size_t engine = 0; engine < this->pattern.engines; ++engine) {
      UpstreamListing listing;
      listing.id = "engine-" + std::to_string(engine);
      listing.service = "model";
      listing.address = std::to_string(engine);
      listing.failure_domain = this->DomainOf(engine);
      listing.slots = this->pattern.slots;
      ApplyListing(instance->table, listing, this->now - std::chrono::minutes(1));
    }
    this->instances.push_back(std::move(instance));
  }

  void SetRates(double burst) {
    std::vector<double> rates;
    rates.reserve(this->pattern.kinds.size());
    for (const RequestKind& kind : this->pattern.kinds) {
      rates.push_back(kind.per_second * (rates.empty() ? burst : 1));
    }
    this->per_second = std::accumulate(rates.begin(), rates.end(), 0.0);
    this->kind_of = std::discrete_distribution<std::size_t>(rates.begin(), rates.end());
  }

  void At(Duration delay, std::function<void()> act) {
    this->events.push({this->now + delay, std::move(act)});
  }

  Duration Random(Duration longest) {
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(this->random));
  }

  void SendDigests(std::size_t index) {
    SimulatedInstance& sender = *this->instances[index];
    const PeerDigest digest = sender.MakeDigest(this->now);
    for (const std::string& address : DigestTargets(sender.peers, false, this->random, this->now)) {
      SimulatedInstance& receiver = *this->instances[SimulatedInstance::IndexOf(address)];
      this->At(kOnTheWay, [this, &receiver, digest] {
        ApplyDigest(receiver.peers, receiver.table, digest, this->now);
      });
    }
    this->At(kNewsInterval, [this, index] { this->SendDigests(index); });
  }

  void Arrive() {
    const std::size_t group =
        1 + std::geometric_distribution<std::size_t>(1 / kMeanGroup)(this->random);
    for (std::size_t count = 0; count < group; ++count) {
      this->Send(*this->instances[this->instance_of(this->random)]);
    }
    const double pause =
        std::exponential_distribution<double>(this->per_second / kMeanGroup)(this->random);
    this->At(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)),
             [this] { this->Arrive(); });
  }

  // Subject r of n is requested in proportion to r^-0.3.
  std::size_t Subject(std::size_t kind) {
    const double part = std::uniform_real_distribution<double>(0, 1)(this->random);
    if (kind == 0 && this->pattern.popular > 0 &&
        std::bernoulli_distribution(this->pattern.popular)(this->random)) {
      return 0;
    }
    return static_cast<std::size_t>(static_cast<double>(this->pattern.kinds[kind].subjects) *
                                    std::pow(part, 1 / 0.7));
  }

  Prompt MakePrompt(std::size_t kind_index, std::size_t subject) {
    const RequestKind& kind = this->pattern.kinds[kind_index];
    const std::uint64_t base = (kind_index + 1) << 32U;
    Prompt prompt;
    prompt.parts = {{base + subject % kind.first_parts, kind.first_tokens},
                    {base + 1'000 + subject, kind.subject_tokens},
                    {base + 1'000'000 + ++this->requests, kind.own_tokens}};
    prompt.input_tokens = kind.first_tokens + kind.subject_tokens + kind.own_tokens;
    return prompt;
  }

  SelectionRequest MakeRequest(const SimulatedInstance& instance, std::size_t kind) const {
    SelectionRequest request;
    request.service = "model";
    request.is_engine = true;
    request.body_bytes = this->pattern.kinds[kind].body_bytes;
    request.own_domain = instance.domain;
    request.own_hash = instance.hash;
    request.instances = this->instances.size();
    request.latency_goal = this->pattern.kinds[kind].latency_goal;
    request.tightest_goal =
        std::ranges::min_element(this->pattern.kinds, {}, &RequestKind::latency_goal)->latency_goal;
    request.now = this->now;
    return request;
  }

  Engine& EngineAt(const Upstream& row) { return this->engines[std::stoul(row.listing.address)]; }

  void WarmHomes(std::size_t kind) {
    SelectionRequest request = this->MakeRequest(*this->instances.front(), kind);
    for (std::size_t subject = 0; subject < this->pattern.kinds[kind].subjects; ++subject) {
      request.prompt = this->MakePrompt(kind, subject);
      const Selection selection =
          SelectUpstream(this->instances.front()->table, this->settings, request);
      const auto home = std::ranges::find_if(selection.candidates, &Candidate::is_home);
      BOOST_REQUIRE(home != selection.candidates.end());
      this->Prefill(this->EngineAt(*home->row), nullptr, request.prompt);
    }
  }

  void Send(SimulatedInstance& instance) {
    const std::size_t kind = this->kind_of(this->random);
    SelectionRequest request = this->MakeRequest(instance, kind);
    request.prompt = this->MakePrompt(kind, this->Subject(kind));
    const Selection selection = SelectUpstream(instance.table, this->settings, request);
    BOOST_REQUIRE(!selection.candidates.empty());
    const Candidate& chosen = selection.candidates.front();
    const Upstream* source = FindPrefixSource(instance.table, request, *chosen.row);
    RecordPrompt(chosen.row->prompt_cache, request.prompt, kCacheTokens);
    this->Serve(chosen, source, request.prompt, kind);
  }

  // Returns the time that the uncached parts of a prompt take. Engines of a failure domain that
  // is out of service transfer nothing.
  double Prefill(Engine& engine, const Upstream* source, const Prompt& prompt) {
    const std::uint32_t missing = UncachedSharedTokens(engine.cache, prompt);
    double tokens = UncachedTokens(engine.cache, prompt);
    double fetch_ms = 0;
    if (this->pattern.has_transfers && source != nullptr && missing > 0 &&
        TakesNewWork(this->instances.front()->table, *source) &&
        UncachedSharedTokens(this->EngineAt(*source).cache, prompt) == 0) {
      tokens -= missing;
      fetch_ms = kFetchMs;
    }
    if (this->is_counting) {
      this->counts.prefilled += tokens;
      for (std::size_t part = 0; fetch_ms == 0 && part + 1 < prompt.parts.size(); ++part) {
        const bool is_again = !engine.cache.by_id.contains(prompt.parts[part].id) &&
                              this->computed.contains(prompt.parts[part].id);
        this->counts.prefilled_again += is_again ? prompt.parts[part].tokens : 0;
      }
    }
    for (const PromptPart& part : prompt.parts) {
      this->computed.insert(part.id);
    }
    RecordPrompt(engine.cache, prompt, kCacheTokens);
    return fetch_ms + tokens / this->pattern.tokens_per_ms * engine.slowness;
  }

  void Serve(const Candidate& chosen,
             const Upstream* source,
             const Prompt& prompt,
             std::size_t kind_index) {
    const RequestKind& kind = this->pattern.kinds[kind_index];
    Engine& engine = this->EngineAt(*chosen.row);
    this->Count(engine);
    ++engine.running;
    const auto held = std::make_shared<std::unique_ptr<RunningRequest>>(
        std::make_unique<RunningRequest>(chosen.row, chosen.uncached_tokens));
    const double factor = std::lognormal_distribution<double>(-kind.spread * kind.spread / 2,
                                                              kind.spread)(this->random);
    engine.reads_until =
        std::max(engine.reads_until, this->now) +
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(this->Prefill(engine, source, prompt)));
    const Duration first_output = engine.reads_until - this->now + kFirstOutput;
    const Duration duration = first_output + std::chrono::duration_cast<Duration>(
                                                 kind.duration * factor * engine.slowness);
    if (this->is_counting) {
      ++this->counts.sent_of[kind_index];
      this->counts.on_time_of[kind_index] += first_output <= kind.latency_goal ? 1 : 0;
    }
    this->At(first_output, [this, &engine, row = chosen.row, held] {
      if (*held) {
        (*held)->RecordPrefillDone();
      }
      row->report = LoadReport{engine.running, 0, this->now, row->running};
    });
    this->At(duration, [&engine, held] {
      --engine.running;
      held->reset();
    });
  }

  void Count(const Engine& engine) {
    if (!this->is_counting) {
      return;
    }
    double sum = 0;
    for (const Engine& each : this->engines) {
      sum += each.running;
    }
    ++this->counts.sent;
    const double bound = kLoadFactor * sum / static_cast<double>(this->engines.size()) + kLoadSlack;
    this->counts.above_bound += engine.running > bound ? 1 : 0;
  }

  LoadPattern pattern;
  SelectionSettings settings;
  std::mt19937_64 random;
  TimePoint now{std::chrono::hours(1)};
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<SimulatedInstance>> instances;
  std::vector<Engine> engines;
  double per_second = 0;
  std::discrete_distribution<std::size_t> kind_of;
  std::discrete_distribution<std::size_t> instance_of;
  // Ids of the parts that some engine has computed.
  std::set<std::uint64_t> computed;
  std::uint64_t requests = 0;
  bool is_counting = false;
  LoadCounts counts;
};

// The streams of one deployment: long, middle and short ones at 64 instances in three
// failure domains and 140 engines.
inline LoadPattern StreamsAtSixtyFourInstances() {
  using namespace std::chrono_literals;
  LoadPattern pattern;
  pattern.instances = 64;
  pattern.slots = 48;
  pattern.tokens_per_ms = 32.4;
  pattern.domains = {"a", "b", "c"};
  pattern.has_domain_outage = false;
  pattern.is_warm = true;
  pattern.kinds = {{162, 426, 4, 2520, 6100, 580, 9200, 330ms, 0.85, 2500ms},
                   {213, 577, 80, 341, 1700, 360, 2400, 120ms, 1.0, 1000ms},
                   {161, 569, 80, 103, 500, 110, 710, 1640ms, 0.6, 800ms}};
  return pattern;
}

}  // namespace geraniumspread::dispatch::test

#endif  // DISPATCH_TESTS_SIMULATED_LOAD_H_
