#ifndef SCENARIO_INTERNAL_FLEET_INTERNAL_H_
#define SCENARIO_INTERNAL_FLEET_INTERNAL_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "scenario/fleet.h"

// Functions that the source files of this module share.
namespace geraniumspread::scenario::detail {

inline constexpr std::string_view kEnginePool = "model";
inline constexpr std::string_view kServicePool = "orders";
inline constexpr std::string_view kPlatform = "platform";
// One way between two processes, and the time to open a connection.
inline constexpr Duration kHop = std::chrono::milliseconds(1);

// --- Events ---

void PostEvent(Fleet& fleet, Duration delay, std::function<void()> action);
// Runs `action` at the router unless the process that is there now is dead by
// then. A paused router runs it when it resumes.
void PostToRouter(Fleet& fleet,
                  std::size_t router,
                  Duration delay,
                  std::function<void(RouterNode&)> action);
// Sends messages, calls and reports, and passes queue results on.
void CarryOut(Fleet& fleet, std::size_t router, const router::TickOutput& output);

// --- Names and links ---

std::size_t FindRouter(const Fleet& fleet, std::string_view id);
Upstream& FindUpstream(Fleet& fleet, std::string_view id);
const Upstream& FindUpstream(const Fleet& fleet, std::string_view id);
// The faults between a router and another router, an upstream or the platform.
LinkFault LinkOf(const Fleet& fleet, const RouterNode& router, std::string_view other);
// Version by which the router acts; 0 for none.
std::uint64_t VersionInForce(const RouterNode& node);
void StartProcess(Fleet& fleet, std::size_t router);

// --- Platform and engines ---

std::string InstanceListText(const Fleet& fleet, const RouterNode& viewer);
void CallService(Fleet& fleet, std::size_t router, const fleet::ServiceCall& call);
void FetchReport(Fleet& fleet, std::size_t router, const router::ReportRequest& request);
// Opens a connection to the upstream and starts the run.
void Dispatch(Fleet& fleet, std::uint64_t attempt);
void TurnCold(const Fleet& fleet, Upstream& upstream);

// --- Requests ---

// Starts the request at its entry router. Returns its number.
std::uint64_t StartRequest(Fleet& fleet, Request request, Duration delay);
void HandleQueueResult(Fleet& fleet, std::size_t owner, const router::QueueResult& result);
// Ends the attempt at the owner and tells the entry router.
void EndAttempt(Fleet& fleet, std::uint64_t attempt, AttemptResult result, bool connection_lost);
// The owner has died: the entry router sees the connection end.
void LoseAttempt(Fleet& fleet, std::uint64_t attempt);
// The entry router has died: its callers see their connections end.
void LoseRequests(Fleet& fleet, std::size_t entry);
void FinishCall(Fleet& fleet, std::int64_t call, std::string_view answer);

}  // namespace geraniumspread::scenario::detail

#endif  // SCENARIO_INTERNAL_FLEET_INTERNAL_H_
