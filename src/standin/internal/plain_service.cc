#include "standin/plain_service.h"

#include <algorithm>

#include "standin/answer_text.h"

namespace geraniumspread::standin {
namespace {

int CountRunning(const PlainService& service) {
  return static_cast<int>(std::ranges::count_if(
      service.calls, [](const ActiveCall& call) { return call.done_at.has_value(); }));
}

void BeginCall(PlainService& service, ActiveCall& call, TimePoint now) {
  call.done_at = now + service.settings.service_time + service.delay;
  if (!call.call.idempotency_key.empty()) {
    ++service.stats.runs_by_key[call.call.idempotency_key];
  }
  if (!call.call.request_id.empty()) {
    ++service.stats.runs_by_request_id[call.call.request_id];
  }
}

void BeginWaitingCalls(PlainService& service, TimePoint now) {
  int running = CountRunning(service);
  for (ActiveCall& call : service.calls) {
    if (running >= service.settings.capacity) {
      break;
    }
    if (!call.done_at) {
      BeginCall(service, call, now);
      ++running;
    }
  }
  service.stats.peak_running = std::max(service.stats.peak_running, running);
}

std::string AnswerCall(const ServiceCall& call) {
  if (call.method == "GET" || call.method == "HEAD") {
    return LookupAnswer(call.target);
  }
  return OrderAnswer(call.idempotency_key, call.body);
}

}  // namespace

PlainService MakePlainService(PlainServiceSettings settings, std::uint64_t incarnation) {
  PlainService service;
  service.settings = std::move(settings);
  service.incarnation = incarnation;
  return service;
}

std::uint64_t SubmitCall(PlainService& service, ServiceCall call, TimePoint now) {
  ++service.stats.requests;
  ActiveCall active;
  active.number = ++service.last_number;
  active.call = std::move(call);
  service.calls.push_back(std::move(active));
  BeginWaitingCalls(service, now);
  return service.last_number;
}

void AbandonCall(PlainService& service, std::uint64_t number) {
  const auto found = std::ranges::find(service.calls, number, &ActiveCall::number);
  if (found == service.calls.end()) {
    return;
  }
  ++service.stats.cancelled;
  if (!found->done_at) {
    service.calls.erase(found);
  }
}

ServiceTick TickService(PlainService& service, TimePoint now) {
  ServiceTick tick;
  if (!service.up) {
    if (service.restart_at && *service.restart_at <= now) {
      service.up = true;
      service.restart_at.reset();
      ++service.incarnation;
      tick.restarted = true;
    }
    return tick;
  }
  std::erase_if(service.calls, [&](const ActiveCall& call) {
    if (!call.done_at || *call.done_at > now) {
      return false;
    }
    tick.finished.push_back({call.number, AnswerCall(call.call)});
    return true;
  });
  service.stats.completed += tick.finished.size();
  BeginWaitingCalls(service, now);
  return tick;
}

void CrashService(PlainService& service, TimePoint now, std::optional<Duration> restart_after) {
  ++service.stats.crashes;
  service.up = false;
  service.calls.clear();
  service.restart_at.reset();
  if (restart_after) {
    service.restart_at = now + *restart_after;
  }
}

}  // namespace geraniumspread::standin
