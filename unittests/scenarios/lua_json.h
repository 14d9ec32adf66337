#pragma once

#include "dragonflystair/support/json.h"

#include <lua.hpp>

namespace dragonflystair::scenarios {

/// Pushes a JSON value as a Lua value; null becomes nil.
void push_json(lua_State* lua, const support::json& value);

/// Reads a Lua value as JSON; a table with a first element is an array.
support::json to_json(lua_State* lua, int index);

} // namespace dragonflystair::scenarios
