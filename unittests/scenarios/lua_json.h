#pragma once

#include "dragonflystair/support/json.h"

#include <lua.hpp>

namespace dragonflystair::scenarios {

/// Pushes a JSON value onto the Lua stack; null becomes nil.
void push_json(lua_State* lua, const support::json& value);

/// Converts the Lua value at `index` to JSON; a table with a nonzero length becomes an array.
support::json to_json(lua_State* lua, int index);

} // namespace dragonflystair::scenarios
