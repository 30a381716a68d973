#ifndef SCENARIO_INTERNAL_LUA_ARGUMENTS_H_
#define SCENARIO_INTERNAL_LUA_ARGUMENTS_H_

#include <initializer_list>
#include <lua.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime_clock.h"

// Reads the arguments of a Lua function. Wrong types throw ScenarioError; the
// functions of the Lua library that jump out of C++ frames are not used.
namespace geraniumspread::scenario::detail {

// "3s", "250ms", "10min", or "after 3s". Throws for anything else.
Duration ParseDuration(std::string_view text);

std::string TextArgument(lua_State* lua, int index);
std::int64_t IntegerArgument(lua_State* lua, int index);
Duration DurationArgument(lua_State* lua, int index);
bool HasArgument(lua_State* lua, int index);

// The table that is the only argument of a function such as fleet{...}.
// Throws for a missing table and for a key that is not among `keys`.
void CheckTable(lua_State* lua, std::initializer_list<std::string_view> keys);
// Each leaves `value` unchanged when the table has no such field.
void ReadField(lua_State* lua, const char* key, std::string& value);
void ReadField(lua_State* lua, const char* key, std::int64_t& value);
void ReadField(lua_State* lua, const char* key, double& value);
void ReadField(lua_State* lua, const char* key, Duration& value);
void ReadField(lua_State* lua, const char* key, std::vector<std::string>& value);

}  // namespace geraniumspread::scenario::detail

#endif  // SCENARIO_INTERNAL_LUA_ARGUMENTS_H_
