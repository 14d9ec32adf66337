#include "lua_json.h"

#include <cstdint>
#include <string>

namespace dragonflystair::scenarios {

void push_json(lua_State* lua, const support::json& value) {
    switch (value.type()) {
    case support::json::value_t::boolean:
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
        return;
    case support::json::value_t::number_integer:
    case support::json::value_t::number_unsigned:
        lua_pushinteger(lua, value.get<std::int64_t>());
        return;
    case support::json::value_t::number_float:
        lua_pushnumber(lua, value.get<double>());
        return;
    case support::json::value_t::string: {
        const auto& text = value.get_ref<const std::string&>();
        lua_pushlstring(lua, text.data(), text.size());
        return;
    }
    case support::json::value_t::array:
        lua_newtable(lua);
        for (std::size_t index = 0; index < value.size(); ++index) {
            push_json(lua, value[index]);
            lua_rawseti(lua, -2, static_cast<lua_Integer>(index) + 1);
        }
        return;
    case support::json::value_t::object:
        lua_newtable(lua);
        for (const auto& [key, item] : value.items()) {
            push_json(lua, item);
            lua_setfield(lua, -2, key.c_str());
        }
        return;
    default:
        lua_pushnil(lua);
    }
}

support::json to_json(lua_State* lua, int index) {
    const int at = lua_absindex(lua, index);
    switch (lua_type(lua, at)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, at) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(lua, at) != 0) {
            return static_cast<std::int64_t>(lua_tointeger(lua, at));
        }
        return lua_tonumber(lua, at);
    case LUA_TSTRING:
        return std::string(lua_tostring(lua, at));
    case LUA_TTABLE:
        break;
    default:
        return nullptr;
    }
    const bool is_array = lua_rawlen(lua, at) > 0;
    support::json result = is_array ? support::json::array() : support::json::object();
    lua_pushnil(lua);
    while (lua_next(lua, at) != 0) {
        if (is_array) {
            result.push_back(to_json(lua, -1));
        } else {
            lua_pushvalue(lua, -2);
            result[lua_tostring(lua, -1)] = to_json(lua, -2);
            lua_pop(lua, 1);
        }
        lua_pop(lua, 1);
    }
    return result;
}

} // namespace dragonflystair::scenarios
