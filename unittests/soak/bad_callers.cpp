#include "bad_callers.h"

#include "tenant_checker.h"
#include "untrusted_callers/crowd.h"

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <stop_token>
#include <thread>
#include <vector>

namespace dragonflystair::soak {

namespace {

constexpr std::size_t connections = 30;
/// With all connections, more than the gateway's memory.
constexpr std::size_t body_bytes = std::size_t{4} << 20U;
constexpr std::size_t piece_bytes = 4'000;
constexpr int many_fields = 1'800;
constexpr std::size_t pipelined_requests = 20'000;
constexpr std::size_t plans = 5;
constexpr std::chrono::milliseconds sending_turn{50};

std::string head(const std::string& path, const std::string& fields) {
    return fmt::format("POST {} HTTP/1.1\r\nHost: desk\r\n{}\r\n", path, fields);
}

std::string key_field(std::size_t tenant) {
    return fmt::format("Api-Key: {}\r\n", tenant_checker::lasting_key(tenant));
}

/// A body of legal size with a valid key, without its last byte.
std::string unfinished_body(std::size_t tenant) {
    return head("/stamp/unfinished",
                key_field(tenant) + fmt::format("Content-Length: {}\r\n", body_bytes)) +
           std::string(body_bytes - 1, 'x');
}

std::string request_of_many_fields() {
    std::vector<char> fields;
    for (int i = 0; i < many_fields; ++i) {
        fmt::format_to(std::back_inserter(fields), "{:x}:b\r\n", i);
    }
    return head("/stamp/fields", {fields.begin(), fields.end()});
}

untrusted::crowd_plan plan_of(const std::string& address, std::size_t draw) {
    const auto tenant = draw / plans % tenant_checker::tenants;
    switch (draw % plans) {
    case 0:
        return {address, connections, unfinished_body(tenant)};
    case 1:
        return {address, connections, unfinished_body(tenant), 1, piece_bytes};
    case 2:
        return {address, connections, request_of_many_fields()};
    case 3:
        return {address, connections, head("/stamp/unread", "Content-Length: 0\r\n"),
                pipelined_requests};
    default:
        return {address, connections, "POST /stamp/half HTTP/1.1\r\nHost: de"};
    }
}

} // namespace

std::function<void()> begin_bad_callers(const std::string& address, std::size_t draw) {
    const auto plan = plan_of(address, draw);
    const auto sender = std::make_shared<std::jthread>([plan](const std::stop_token& stop) {
        untrusted::crowd callers;
        callers.join(plan);
        while (!stop.stop_requested()) {
            callers.send(sending_turn, [] {});
            std::this_thread::sleep_for(sending_turn);
        }
    });
    return [sender] {
        sender->request_stop();
        sender->join();
    };
}

} // namespace dragonflystair::soak
