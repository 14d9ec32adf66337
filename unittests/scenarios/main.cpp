#include "child_process.h"
#include "http_call.h"
#include "lua_json.h"
#include "tcp_relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::scenarios;

/// The processes, calls, relays and sockets that a scenario has started, by handle.
struct scenario_state {
    std::string folder;
    lua_Integer next_handle = 1;
    std::map<lua_Integer, std::unique_ptr<child_process>> processes;
    std::map<lua_Integer, std::unique_ptr<http_call>> calls;
    std::map<lua_Integer, std::unique_ptr<tcp_relay>> relays;
    boost::asio::io_context context;
    std::map<lua_Integer, std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
};

scenario_state& the_state() {
    static scenario_state instance;
    return instance;
}

std::string text_at(lua_State* lua, int index) {
    std::size_t size = 0;
    const char* text = luaL_checklstring(lua, index, &size);
    return {text, size};
}

/// spawn(log_file, program, arguments...) -> handle
int spawn(lua_State* lua) {
    std::vector<std::string> arguments;
    for (int index = 2; index <= lua_gettop(lua); ++index) {
        arguments.push_back(text_at(lua, index));
    }
    auto& all = the_state();
    const auto log_file = all.folder + "/" + text_at(lua, 1);
    all.processes[all.next_handle] = std::make_unique<child_process>(arguments, log_file);
    lua_pushinteger(lua, all.next_handle++);
    return 1;
}

/// signal(handle, name)
int send_signal(lua_State* lua) {
    static const std::map<std::string, int> numbers{
        {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"TERM", SIGTERM}};
    the_state().processes.at(luaL_checkinteger(lua, 1))->signal(numbers.at(text_at(lua, 2)));
    return 0;
}

/// wait_process(handle) -> exit code
int wait_process(lua_State* lua) {
    lua_pushinteger(lua, the_state().processes.at(luaL_checkinteger(lua, 1))->wait());
    return 1;
}

/// http(address, method, target, headers, body, timeout_ms) -> handle
int http(lua_State* lua) {
    net::http_request request;
    const auto address = text_at(lua, 1);
    request.method = text_at(lua, 2);
    request.target = text_at(lua, 3);
    const auto headers = to_json(lua, 4);
    for (const auto& [name, value] : headers.items()) {
        request.headers[name] = value.get<std::string>();
    }
    request.body = text_at(lua, 5);
    const std::chrono::milliseconds timeout(luaL_checkinteger(lua, 6));
    auto& all = the_state();
    all.calls[all.next_handle] = std::make_unique<http_call>(address, std::move(request), timeout);
    lua_pushinteger(lua, all.next_handle++);
    return 1;
}

/// http_state(handle) -> table with ended, error, status, headers, body
int http_state(lua_State* lua) {
    const auto& call = *the_state().calls.at(luaL_checkinteger(lua, 1));
    const bool ended = call.ended();
    const auto response = call.response();
    support::json headers = support::json::object();
    for (const auto& [name, value] : response.headers) {
        headers[name] = value;
    }
    push_json(lua, {{"ended", ended},
                    {"error", call.error()},
                    {"status", response.status},
                    {"headers", headers},
                    {"body", response.body}});
    return 1;
}

/// http_wait(handle)
int http_wait(lua_State* lua) {
    the_state().calls.at(luaL_checkinteger(lua, 1))->wait();
    return 0;
}

/// send_raw(address, bytes) -> handle of a connection that is kept open
int send_raw(lua_State* lua) {
    const auto address = text_at(lua, 1);
    const auto colon = address.find(':');
    auto& all = the_state();
    auto socket = std::make_unique<boost::asio::ip::tcp::socket>(all.context);
    socket->connect({boost::asio::ip::make_address(address.substr(0, colon)),
                     static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    boost::asio::write(*socket, boost::asio::buffer(text_at(lua, 2)));
    all.sockets[all.next_handle] = std::move(socket);
    lua_pushinteger(lua, all.next_handle++);
    return 1;
}

/// read_raw(handle) -> all bytes received until the peer closes the connection
int read_raw(lua_State* lua) {
    std::string text;
    boost::system::error_code end;
    boost::asio::read(*the_state().sockets.at(luaL_checkinteger(lua, 1)),
                      boost::asio::dynamic_buffer(text), end);
    lua_pushlstring(lua, text.data(), text.size());
    return 1;
}

/// relay(target) -> handle, address
int relay(lua_State* lua) {
    auto& all = the_state();
    auto item = std::make_unique<tcp_relay>(text_at(lua, 1));
    const auto address = item->address();
    all.relays[all.next_handle] = std::move(item);
    lua_pushinteger(lua, all.next_handle++);
    lua_pushstring(lua, address.c_str());
    return 2;
}

/// relay_mode(handle, "pass" | "silence_open" | "cut")
int set_relay_mode(lua_State* lua) {
    static const std::map<std::string, relay_mode> modes{{"pass", relay_mode::pass},
                                                         {"silence_open", relay_mode::silence_open},
                                                         {"cut", relay_mode::cut}};
    the_state().relays.at(luaL_checkinteger(lua, 1))->set_mode(modes.at(text_at(lua, 2)));
    return 0;
}

int sleep_ms(lua_State* lua) {
    std::this_thread::sleep_for(std::chrono::milliseconds(luaL_checkinteger(lua, 1)));
    return 0;
}

/// now_ms() -> milliseconds of a steady clock
int now_ms(lua_State* lua) {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    return 1;
}

/// write_file(name, text) -> path in the scenario's folder
int write_file(lua_State* lua) {
    const auto path = the_state().folder + "/" + text_at(lua, 1);
    std::ofstream(path) << text_at(lua, 2);
    lua_pushstring(lua, path.c_str());
    return 1;
}

/// read_file(name) -> text of a file in the scenario's folder, or an empty string
int read_file(lua_State* lua) {
    std::ifstream file(the_state().folder + "/" + text_at(lua, 1));
    std::ostringstream text;
    text << file.rdbuf();
    const auto content = text.str();
    lua_pushlstring(lua, content.data(), content.size());
    return 1;
}

int json_decode(lua_State* lua) {
    push_json(lua, support::json::parse(text_at(lua, 1), nullptr, false));
    return 1;
}

int json_encode(lua_State* lua) {
    lua_pushstring(lua, to_json(lua, 1).dump().c_str());
    return 1;
}

/// Wraps a function so that its C++ exceptions become Lua errors.
template <int (*Function)(lua_State*)> int guarded(lua_State* lua) {
    try {
        return Function(lua);
    } catch (const std::exception& fault) {
        lua_pushstring(lua, fault.what());
    }
    return lua_error(lua);
}

void register_functions(lua_State* lua) {
    lua_register(lua, "spawn", guarded<spawn>);
    lua_register(lua, "signal", guarded<send_signal>);
    lua_register(lua, "wait_process", guarded<wait_process>);
    lua_register(lua, "http", guarded<http>);
    lua_register(lua, "http_state", guarded<http_state>);
    lua_register(lua, "http_wait", guarded<http_wait>);
    lua_register(lua, "send_raw", guarded<send_raw>);
    lua_register(lua, "read_raw", guarded<read_raw>);
    lua_register(lua, "relay", guarded<relay>);
    lua_register(lua, "relay_mode", guarded<set_relay_mode>);
    lua_register(lua, "sleep_ms", guarded<sleep_ms>);
    lua_register(lua, "now_ms", guarded<now_ms>);
    lua_register(lua, "write_file", guarded<write_file>);
    lua_register(lua, "read_file", guarded<read_file>);
    lua_register(lua, "json_decode", guarded<json_decode>);
    lua_register(lua, "json_encode", guarded<json_encode>);
}

/// Prints the last 40 lines of each log, so that a failure can be diagnosed from the CI output.
void print_logs(const std::string& folder) {
    for (const auto& item : std::filesystem::directory_iterator(folder)) {
        if (item.path().extension() != ".log") {
            continue;
        }
        std::ifstream file(item.path());
        std::vector<std::string> lines;
        for (std::string line; std::getline(file, line);) {
            lines.push_back(line);
        }
        std::fprintf(stderr, "--- %s\n", item.path().filename().c_str());
        for (std::size_t index = lines.size() > 40 ? lines.size() - 40 : 0; index < lines.size();
             ++index) {
            std::fprintf(stderr, "%s\n", lines[index].c_str());
        }
    }
}

bool run_file(lua_State* lua, const char* path) {
    if (luaL_dofile(lua, path) == LUA_OK) {
        return true;
    }
    std::fprintf(stderr, "%s\n", lua_tostring(lua, -1));
    return false;
}

} // namespace

/// Runs one scenario: PRELUDE SCENARIO NODE_BINARY STAND_INS_BINARY.
int main(int argc, char** argv) {
    if (argc != 5) {
        std::fprintf(stderr, "usage: %s PRELUDE SCENARIO NODE STAND_INS\n", argv[0]);
        return 2;
    }
    auto folder = (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        std::perror("mkdtemp");
        return 2;
    }
    the_state().folder = folder;
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    register_functions(lua);
    lua_pushstring(lua, argv[3]);
    lua_setglobal(lua, "node_binary");
    lua_pushstring(lua, argv[4]);
    lua_setglobal(lua, "stand_ins_binary");
    const bool passed = run_file(lua, argv[1]) && run_file(lua, argv[2]);
    if (!passed) {
        print_logs(folder);
    }
    lua_close(lua);
    the_state().processes.clear();
    the_state().calls.clear();
    the_state().relays.clear();
    std::filesystem::remove_all(folder);
    std::puts(passed ? "scenario passed" : "scenario failed");
    return passed ? 0 : 1;
}
