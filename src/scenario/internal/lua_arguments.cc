#include "scenario/internal/lua_arguments.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "scenario/fleet.h"

namespace geraniumspread::scenario::detail {
namespace {

constexpr std::string_view kAfter = "after ";

struct DurationUnit {
  std::string_view name;
  Duration length;
};
constexpr DurationUnit kUnits[] = {{"ms", std::chrono::milliseconds(1)},
                                   {"s", std::chrono::seconds(1)},
                                   {"min", std::chrono::minutes(1)}};

[[noreturn]] void ThrowNoDuration(std::string_view text) {
  throw ScenarioError("'" + std::string(text) + "' is no time such as \"3s\" or \"250ms\"");
}

// Pushes the field. False, with nothing pushed, when it is absent.
bool PushField(lua_State* lua, const char* key) {
  if (lua_getfield(lua, 1, key) != LUA_TNIL) {
    return true;
  }
  lua_pop(lua, 1);
  return false;
}

template <typename Value, typename Read>
void ReadWith(lua_State* lua, const char* key, Value& value, Read read) {
  if (PushField(lua, key)) {
    value = read(lua, lua_gettop(lua));
    lua_pop(lua, 1);
  }
}

double NumberArgument(lua_State* lua, int index) {
  int is_number = 0;
  const double number = lua_tonumberx(lua, index, &is_number);
  if (is_number == 0) {
    throw ScenarioError("expected a number");
  }
  return number;
}

std::vector<std::string> TextList(lua_State* lua, int index) {
  if (!lua_istable(lua, index)) {
    throw ScenarioError("expected a list of names");
  }
  std::vector<std::string> texts;
  const auto size = static_cast<lua_Integer>(lua_rawlen(lua, index));
  for (lua_Integer entry = 1; entry <= size; ++entry) {
    lua_rawgeti(lua, index, entry);
    texts.push_back(TextArgument(lua, lua_gettop(lua)));
    lua_pop(lua, 1);
  }
  return texts;
}

}  // namespace

Duration ParseDuration(std::string_view text) {
  std::string_view rest = text;
  if (rest.starts_with(kAfter)) {
    rest.remove_prefix(kAfter.size());
  }
  double number = 0;
  const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), number);
  if (error != std::errc() || number < 0) {
    ThrowNoDuration(text);
  }
  rest.remove_prefix(static_cast<std::size_t>(end - rest.data()));
  const auto unit = std::ranges::find(kUnits, rest, &DurationUnit::name);
  if (unit == std::end(kUnits)) {
    ThrowNoDuration(text);
  }
  return std::chrono::duration_cast<Duration>(number * unit->length);
}

std::string TextArgument(lua_State* lua, int index) {
  if (lua_type(lua, index) != LUA_TSTRING) {
    throw ScenarioError("expected a text");
  }
  std::size_t size = 0;
  const char* text = lua_tolstring(lua, index, &size);
  return {text, size};
}

std::int64_t IntegerArgument(lua_State* lua, int index) {
  int is_integer = 0;
  const lua_Integer number = lua_tointegerx(lua, index, &is_integer);
  if (is_integer == 0) {
    throw ScenarioError("expected a whole number");
  }
  return number;
}

Duration DurationArgument(lua_State* lua, int index) {
  return ParseDuration(TextArgument(lua, index));
}

bool HasArgument(lua_State* lua, int index) {
  return !lua_isnoneornil(lua, index);
}

void CheckTable(lua_State* lua, std::initializer_list<std::string_view> keys) {
  if (!lua_istable(lua, 1)) {
    throw ScenarioError("expected a table");
  }
  lua_pushnil(lua);
  while (lua_next(lua, 1) != 0) {
    lua_pop(lua, 1);
    const std::string key = TextArgument(lua, lua_gettop(lua));
    if (std::ranges::find(keys, key) == keys.end()) {
      throw ScenarioError("unknown field " + key);
    }
  }
}

void ReadField(lua_State* lua, const char* key, std::string& value) {
  ReadWith(lua, key, value, TextArgument);
}

void ReadField(lua_State* lua, const char* key, std::int64_t& value) {
  ReadWith(lua, key, value, IntegerArgument);
}

void ReadField(lua_State* lua, const char* key, double& value) {
  ReadWith(lua, key, value, NumberArgument);
}

void ReadField(lua_State* lua, const char* key, Duration& value) {
  ReadWith(lua, key, value, DurationArgument);
}

void ReadField(lua_State* lua, const char* key, std::vector<std::string>& value) {
  ReadWith(lua, key, value, TextList);
}

}  // namespace geraniumspread::scenario::detail
