#include "dragonflystair/support/log.h"

#include "call_relay.h"

#include <fmt/format.h>

#include <utility>

namespace dragonflystair::gateway {

using support::boot_clock;

namespace {

std::string milliseconds_text(support::duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

/// Counts and logs a refusal. Returns the response.
net::http_response call_relay::record_refusal(const open_call& call, const net::problem& problem) {
    view_.counters.increment("refusals_total", problem.reason);
    support::log_request(
        "call_refused",
        {{"request", call.request.id},
         {"route", call.route == nullptr ? std::string("none") : call.route->name},
         {"status", std::to_string(problem.status)},
         {"reason", std::string(problem.reason)},
         {"adapter", call.request.model.adapter},
         {"configuration", std::to_string(call.configuration ? call.configuration->version : 0)},
         {"sends", std::to_string(call.sends)},
         {"runs", std::to_string(call.runs)},
         {"waiting", std::to_string(view_.dispatcher.waiting())},
         {"retry_after_ms", std::to_string(problem.retry_after.count())},
         {"after_ms", milliseconds_text(boot_clock::now() - call.arrived)}});
    auto response = net::render(problem);
    if (problem.retry_after.count() > 0) {
        // The platform's callers accept fractions of a second; with whole seconds most of them
        // would retry too late.
        response.headers["Retry-After"] =
            fmt::format("{:.3f}", std::chrono::duration<double>(problem.retry_after).count());
    }
    return response;
}

net::awaitable<void> call_relay::refuse(net::http_exchange& exchange, const open_call& call,
                                        net::problem problem) {
    auto response = record_refusal(call, problem);
    co_await exchange.respond(std::move(response));
}

void call_relay::finish(open_call& call, std::string_view outcome, int status) {
    view_.counters.increment("calls_ended_total", outcome);
    support::log_request("call",
                         {{"request", call.request.id},
                          {"route", call.route->name},
                          {"outcome", std::string(outcome)},
                          {"status", std::to_string(status)},
                          {"endpoint", call.decision ? call.decision->endpoint : std::string()},
                          {"adapter", call.request.model.adapter},
                          {"sends", std::to_string(call.sends)},
                          {"configuration", std::to_string(call.configuration->version)},
                          {"prompt_tokens", std::to_string(call.request.prompt_tokens)},
                          {"placed_after_ms", milliseconds_text(call.placed_after)},
                          {"longest_pause_ms", milliseconds_text(call.longest_chunk_gap)},
                          {"first_after_ms", milliseconds_text(call.first_byte_after)},
                          {"after_ms", milliseconds_text(boot_clock::now() - call.arrived)}});
}

} // namespace dragonflystair::gateway
