#include "dragonflystair/support/log.h"

#include "gateway_impl.h"

#include <fmt/format.h>

#include <string>

namespace dragonflystair::gateway {

/// Records what a response says about the rate limit of its endpoint.
void gateway::impl::on_limit(std::string_view endpoint, const fleet::limit_observation& observed,
                             std::string_view source) {
    if (!view_.limits.observe(endpoint, observed)) {
        return;
    }
    counters_.increment("endpoint_limits_total", source);
    support::log_change(
        "endpoint_limit",
        {{"endpoint", std::string(endpoint)},
         {"per_s", observed.per_s ? fmt::format("{:.3f}", *observed.per_s) : "none"},
         {"source", std::string(source)}});
}

/// Logs the requests that this node sent to endpoints that name limits, by kind.
void gateway::impl::log_limited_use() {
    for (const auto& use : view_.limits.take_use()) {
        const auto sent = [&use](fleet::request_kind kind) {
            return std::to_string(use.sent.at(static_cast<std::size_t>(kind)));
        };
        using enum fleet::request_kind;
        support::log_change("endpoint_limit_use", {{"endpoint", use.endpoint},
                                                   {"per_s", fmt::format("{:.3f}", use.per_s)},
                                                   {"first_tries", sent(first_try)},
                                                   {"retries", sent(retry)},
                                                   {"resumed_streams", sent(resumed_stream)},
                                                   {"orders", sent(order)},
                                                   {"checks", sent(check)},
                                                   {"reports", sent(report)}});
    }
}

} // namespace dragonflystair::gateway
