#include "scenario/script.h"

#include <lua.hpp>
#include <memory>

#include "scenario/fleet.h"
#include "scenario/internal/fleet_internal.h"
#include "scenario/internal/lua_arguments.h"

namespace geraniumspread::scenario {
namespace detail {
namespace {

struct Script {
  std::unique_ptr<Fleet> fleet;
  ScriptResult result;
};

struct LuaCloser {
  void operator()(lua_State* lua) const { lua_close(lua); }
};

Script& ScriptOf(lua_State* lua) {
  return **static_cast<Script**>(lua_getextraspace(lua));
}

Fleet& FleetOf(lua_State* lua) {
  const Script& script = ScriptOf(lua);
  if (!script.fleet) {
    throw ScenarioError("call fleet{...} first");
  }
  return *script.fleet;
}

// "FILE:LINE: " of the script's line that runs.
std::string WhereOf(lua_State* lua) {
  luaL_where(lua, 1);
  const std::string where = TextArgument(lua, lua_gettop(lua));
  lua_pop(lua, 1);
  return where;
}

// Turns exceptions into Lua errors after the C++ frames have ended.
template <auto kFunction>
int Bound(lua_State* lua) {
  try {
    return kFunction(lua);
  } catch (const std::exception& error) {
    luaL_where(lua, 1);
    lua_pushstring(lua, error.what());
  }
  lua_concat(lua, 2);
  return lua_error(lua);
}

int MakeFleetBinding(lua_State* lua) {
  CheckTable(
      lua, {"routers", "domains", "engines", "services", "cold_limit", "capacity", "load_multiple",
            "run_time", "report_lag", "lease_term", "return_ramp", "ticket_expiry", "seed"});
  FleetOptions options;
  std::int64_t seed = 1;
  ReadField(lua, "routers", options.routers);
  ReadField(lua, "domains", options.domains);
  ReadField(lua, "engines", options.engines);
  ReadField(lua, "services", options.services);
  ReadField(lua, "cold_limit", options.cold_limit);
  ReadField(lua, "capacity", options.capacity);
  ReadField(lua, "load_multiple", options.load_multiple);
  ReadField(lua, "run_time", options.run_time);
  ReadField(lua, "report_lag", options.report_lag);
  ReadField(lua, "lease_term", options.lease_term);
  ReadField(lua, "return_ramp", options.return_ramp);
  ReadField(lua, "ticket_expiry", options.ticket_expiry);
  ReadField(lua, "seed", seed);
  options.seed = static_cast<std::uint64_t>(seed);
  ScriptOf(lua).fleet = MakeFleet(options);
  return 0;
}

int SendBinding(lua_State* lua) {
  CheckTable(lua, {"count", "workspace", "chats", "priority", "router", "over", "run_time"});
  LoadOptions load;
  std::string priority = "draft";
  ReadField(lua, "count", load.count);
  ReadField(lua, "workspace", load.workspace);
  ReadField(lua, "chats", load.chats);
  ReadField(lua, "priority", priority);
  ReadField(lua, "router", load.router);
  ReadField(lua, "over", load.over);
  ReadField(lua, "run_time", load.run_time);
  if (!ParsePriorityClass(priority, load.priority)) {
    throw ScenarioError("unknown priority " + priority);
  }
  Send(FleetOf(lua), load);
  return 0;
}

int PublishBinding(lua_State* lua) {
  CheckTable(lua, {"version", "cold_limit", "capacity", "load_multiple"});
  ConfigChange change;
  ReadField(lua, "version", change.version);
  ReadField(lua, "cold_limit", change.cold_limit);
  ReadField(lua, "capacity", change.capacity);
  ReadField(lua, "load_multiple", change.load_multiple);
  lua_pushinteger(lua, static_cast<lua_Integer>(Publish(FleetOf(lua), change)));
  return 1;
}

int DelayBinding(lua_State* lua) {
  SetLink(FleetOf(lua), {TextArgument(lua, 1), TextArgument(lua, 2)},
          {.delay = DurationArgument(lua, 3)});
  return 0;
}

int DropBinding(lua_State* lua) {
  constexpr double kPercent = 100;
  SetLink(FleetOf(lua), {TextArgument(lua, 1), TextArgument(lua, 2)},
          {.drop = static_cast<double>(IntegerArgument(lua, 3)) / kPercent});
  return 0;
}

int CutBinding(lua_State* lua) {
  SetLink(FleetOf(lua), {TextArgument(lua, 1), TextArgument(lua, 2)}, {.cut = true});
  return 0;
}

int CrashBinding(lua_State* lua) {
  const Duration down_for =
      HasArgument(lua, 2) ? DurationArgument(lua, 2) : Duration(std::chrono::seconds(2));
  CrashEngine(FleetOf(lua), TextArgument(lua, 1), down_for);
  return 0;
}

int ServiceDownBinding(lua_State* lua) {
  FleetOf(lua).service.down = true;
  return 0;
}

int ServiceStaleBinding(lua_State* lua) {
  ConfigService& service = FleetOf(lua).service;
  const std::uint64_t version = HasArgument(lua, 1)
                                    ? static_cast<std::uint64_t>(IntegerArgument(lua, 1))
                                    : service.versions.rbegin()->first;
  if (!service.versions.contains(version)) {
    throw ScenarioError("version " + std::to_string(version) + " was never published");
  }
  service.frozen_version = version;
  return 0;
}

int ServiceUpBinding(lua_State* lua) {
  ConfigService& service = FleetOf(lua).service;
  service.down = false;
  service.frozen_version.reset();
  return 0;
}

int CallBinding(lua_State* lua) {
  CheckTable(lua, {"ticket", "router", "body"});
  std::string ticket;
  std::string router;
  std::string body = "order";
  ReadField(lua, "ticket", ticket);
  ReadField(lua, "router", router);
  ReadField(lua, "body", body);
  lua_pushinteger(lua, CallWithTicket(FleetOf(lua), ticket, router, body));
  return 1;
}

int TicketBinding(lua_State* lua) {
  lua_pushstring(lua, IssueTicket(FleetOf(lua), TextArgument(lua, 1)).c_str());
  return 1;
}

int AnswerBinding(lua_State* lua) {
  lua_pushstring(lua, AnswerOf(FleetOf(lua), IntegerArgument(lua, 1)).c_str());
  return 1;
}

int TicketRunsBinding(lua_State* lua) {
  const auto& runs = FleetOf(lua).ticket_runs;
  const auto found = runs.find(TextArgument(lua, 1));
  lua_pushinteger(lua, found == runs.end() ? 0 : found->second);
  return 1;
}

// --- Checks ---

int ExpectBinding(lua_State* lua) {
  if (lua_toboolean(lua, 1) == 0) {
    ScriptOf(lua).result.failures.push_back(
        WhereOf(lua) + (HasArgument(lua, 2) ? TextArgument(lua, 2) : "expectation failed"));
  }
  return 0;
}

int ExpectVersionsBinding(lua_State* lua) {
  if (const std::int64_t reversals = FleetOf(lua).version_reversals; reversals > 0) {
    ScriptOf(lua).result.failures.push_back(WhereOf(lua) + "routers went back to a lower version " +
                                            std::to_string(reversals) + " times");
  }
  return 0;
}

int NoteBinding(lua_State* lua) {
  std::size_t size = 0;
  const char* text = lua_tolstring(lua, 1, &size);
  ScriptOf(lua).result.notes.emplace_back(text == nullptr ? "" : text);
  return 0;
}

int PeakColdBinding(lua_State* lua) {
  const Duration after = HasArgument(lua, 1) ? DurationArgument(lua, 1) : Duration{0};
  lua_pushinteger(lua, RunningPeakCold(FleetOf(lua), after));
  return 1;
}

int LoadExcessBinding(lua_State* lua) {
  lua_pushinteger(lua, LoadExcess(FleetOf(lua), DurationArgument(lua, 1)));
  return 1;
}

int RunningBinding(lua_State* lua) {
  const Fleet& fleet = FleetOf(lua);
  lua_pushinteger(lua, FindUpstream(fleet, TextArgument(lua, 1)).running);
  return 1;
}

int PeakBinding(lua_State* lua) {
  const Fleet& fleet = FleetOf(lua);
  lua_pushinteger(lua, FindUpstream(fleet, TextArgument(lua, 1)).peak);
  return 1;
}

// A check of a name and a time that defaults to 0.
template <auto kCheck>
int CheckWork(lua_State* lua) {
  const Duration after = HasArgument(lua, 2) ? DurationArgument(lua, 2) : Duration{0};
  lua_pushinteger(lua, kCheck(FleetOf(lua), TextArgument(lua, 1), after));
  return 1;
}

int ShareBinding(lua_State* lua) {
  lua_pushnumber(lua, ShareIn(FleetOf(lua), TextArgument(lua, 1), DurationArgument(lua, 2)));
  return 1;
}

int InForceBinding(lua_State* lua) {
  const auto version = static_cast<std::uint64_t>(IntegerArgument(lua, 1));
  lua_pushboolean(lua, IsInForceEverywhere(FleetOf(lua), version) ? 1 : 0);
  return 1;
}

int SecondsToForceBinding(lua_State* lua) {
  const auto version = static_cast<std::uint64_t>(IntegerArgument(lua, 1));
  lua_pushnumber(lua, SecondsToForce(FleetOf(lua), version));
  return 1;
}

int AdvanceBinding(lua_State* lua) {
  Advance(FleetOf(lua), DurationArgument(lua, 1));
  return 0;
}

// A fault that only names a router or an engine.
template <auto kFault>
int Name(lua_State* lua) {
  kFault(FleetOf(lua), TextArgument(lua, 1));
  return 0;
}

template <auto kFunction>
int NoArgument(lua_State* lua) {
  kFunction(FleetOf(lua));
  return 0;
}

template <bool kInService>
int DomainBinding(lua_State* lua) {
  lua_pushinteger(
      lua, static_cast<lua_Integer>(SetDomain(FleetOf(lua), TextArgument(lua, 1), kInService)));
  return 1;
}

int HideBinding(lua_State* lua) {
  HideInstance(FleetOf(lua), TextArgument(lua, 1), TextArgument(lua, 2));
  return 0;
}

template <auto kCount>
int CountBinding(lua_State* lua) {
  lua_pushinteger(lua, FleetOf(lua).counts.*kCount);
  return 1;
}

int QueuedBinding(lua_State* lua) {
  lua_pushinteger(lua, Queued(FleetOf(lua)));
  return 1;
}

int UnfinishedBinding(lua_State* lua) {
  const RequestCounts& counts = FleetOf(lua).counts;
  lua_pushinteger(lua, counts.sent - counts.answered - counts.refused - counts.failed);
  return 1;
}

int OwnerBinding(lua_State* lua) {
  lua_pushstring(lua, OwnerOf(FleetOf(lua), TextArgument(lua, 1)).c_str());
  return 1;
}

int ExplainLimitBinding(lua_State* lua) {
  lua_pushstring(lua, ExplainLimit(FleetOf(lua), TextArgument(lua, 1)).c_str());
  return 1;
}

int RefusalsBinding(lua_State* lua) {
  std::string text;
  for (const auto& [code, count] : FleetOf(lua).refusals) {
    text += (text.empty() ? "" : ", ") + code + " " + std::to_string(count);
  }
  lua_pushstring(lua, text.c_str());
  return 1;
}

constexpr luaL_Reg kFunctions[] = {
    {"fleet", Bound<MakeFleetBinding>},
    {"advance", Bound<AdvanceBinding>},
    {"send", Bound<SendBinding>},
    {"ticket", Bound<TicketBinding>},
    {"call", Bound<CallBinding>},
    {"answer", Bound<AnswerBinding>},
    {"ticket_runs", Bound<TicketRunsBinding>},
    {"cut", Bound<CutBinding>},
    {"delay", Bound<DelayBinding>},
    {"drop", Bound<DropBinding>},
    {"heal", Bound<NoArgument<Heal>>},
    {"pause", Bound<Name<Pause>>},
    {"resume", Bound<Name<Resume>>},
    {"kill_router", Bound<Name<KillRouter>>},
    {"start_router", Bound<Name<StartRouter>>},
    {"hide", Bound<HideBinding>},
    {"show_all", Bound<NoArgument<ShowAllInstances>>},
    {"leave_engine", Bound<Name<LeaveEngine>>},
    {"return_engine", Bound<Name<ReturnEngine>>},
    {"crash_engine", Bound<CrashBinding>},
    {"cold_engine", Bound<Name<ColdEngine>>},
    {"take_out", Bound<DomainBinding<false>>},
    {"bring_back", Bound<DomainBinding<true>>},
    {"publish", Bound<PublishBinding>},
    {"service_down", Bound<ServiceDownBinding>},
    {"service_stale", Bound<ServiceStaleBinding>},
    {"service_up", Bound<ServiceUpBinding>},
    {"expect", Bound<ExpectBinding>},
    {"expect_versions_never_go_back", Bound<ExpectVersionsBinding>},
    {"note", Bound<NoteBinding>},
    {"running", Bound<RunningBinding>},
    {"running_peak", Bound<PeakBinding>},
    {"running_peak_cold", Bound<PeakColdBinding>},
    {"load_excess", Bound<LoadExcessBinding>},
    {"new_work_in", Bound<CheckWork<NewWorkIn>>},
    {"new_work_at", Bound<CheckWork<NewWorkAt>>},
    {"share_in", Bound<ShareBinding>},
    {"in_force_everywhere", Bound<InForceBinding>},
    {"seconds_to_force", Bound<SecondsToForceBinding>},
    {"sent", Bound<CountBinding<&RequestCounts::sent>>},
    {"answered", Bound<CountBinding<&RequestCounts::answered>>},
    {"refused", Bound<CountBinding<&RequestCounts::refused>>},
    {"queued", Bound<QueuedBinding>},
    {"owner_of", Bound<OwnerBinding>},
    {"unfinished", Bound<UnfinishedBinding>},
    {"explain_limit", Bound<ExplainLimitBinding>},
    {"refusals", Bound<RefusalsBinding>},
    {"failed", Bound<CountBinding<&RequestCounts::failed>>},
};

// A scenario needs no access to files or processes.
void OpenLibraries(lua_State* lua) {
  luaL_requiref(lua, LUA_GNAME, luaopen_base, 1);
  luaL_requiref(lua, LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
  luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
  lua_settop(lua, 0);
}

}  // namespace
}  // namespace detail

ScriptResult RunScript(const std::string& path) {
  detail::Script script;
  const std::unique_ptr<lua_State, detail::LuaCloser> lua(luaL_newstate());
  if (!lua) {
    throw ScenarioError("no memory for the Lua interpreter");
  }
  *static_cast<detail::Script**>(lua_getextraspace(lua.get())) = &script;
  detail::OpenLibraries(lua.get());
  for (const luaL_Reg& function : detail::kFunctions) {
    lua_register(lua.get(), function.name, function.func);
  }
  const bool ran = luaL_loadfilex(lua.get(), path.c_str(), "t") == LUA_OK &&
                   lua_pcall(lua.get(), 0, 0, 0) == LUA_OK;
  if (!ran) {
    const char* text = lua_tostring(lua.get(), -1);
    script.result.failures.emplace_back(text == nullptr ? "unknown error" : text);
  }
  return script.result;
}

}  // namespace geraniumspread::scenario
