#pragma once

#include "dragonflystair/fleet/shutdown_schedule.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/problem.h"

#include "call_placer.h"
#include "node_view.h"
#include "open_call.h"
#include "platform/call_headers.h"
#include "resume_filter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::gateway {

/// Serves callers: matches the route, waits for the dispatcher's decision, forwards the call to the
/// endpoint and relays the response. Retries failed attempts within the route's limits.
class call_relay {
public:
    struct hooks {
        /// Called with the notice of a response head about its endpoint, as of the run of the
        /// endpoint that started at `started_ms`.
        std::function<void(std::string_view endpoint, std::uint64_t started_ms,
                           const platform::endpoint_notice&, support::time_point sent)>
            on_notice;
        /// Returns whether callers can be served by another node.
        std::function<bool()> other_node_ready;
        /// Called when a call waits for tokens of its tenant's quota.
        std::function<void()> quota_wanted = [] {};
    };

    call_relay(node_view& view, call_placer& placer, hooks callbacks)
        : view_(view), placer_(placer), on_(std::move(callbacks)) {}

    /// Serves one call from its request to its final response.
    net::awaitable<void> serve(net::http_exchange& exchange);

    /// Returns the response to a call that is refused before its body has arrived, if it is.
    std::optional<net::http_response> refuse_from_head(const net::http_request& head);

    /// Delivers a dispatcher decision to its call; ignored if the call has ended.
    void decide(const fleet::dispatch_decision& decision);

    /// From now on takes only calls that can be answered before the node exits, and ends the open
    /// ones by then.
    void begin_shutdown(const fleet::shutdown_schedule& schedule);

    /// Refuses the waiting calls that are blocked now.
    void on_blocks_changed();

    /// Resumes the calls that have got tokens of their tenants' quotas.
    void on_quota_changed();

    [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

private:
    enum class attempt_end {
        answered, ///< The response was relayed, or is to be relayed.
        not_run,  ///< The call has not run at the endpoint.
        failed,   ///< The call may have run; there is no usable response.
        given_up, ///< The caller disconnected or the deadline passed.
        withheld, ///< Nothing was sent: the endpoint is leaving or has requested a pause.
    };

    /// Decodes the head of the request and determines the route and the tenant. Returns a problem
    /// if the call has none.
    std::optional<net::problem> admit_head(const net::http_request& head, open_call& call) const;
    /// Decodes the request and fills in `call`. Returns a problem if the call cannot be served.
    std::optional<net::problem> authenticate(open_call& call) const;
    std::optional<net::problem> admit(const net::http_exchange& exchange, open_call& call);
    net::awaitable<std::optional<net::problem>> take_quota(open_call& call);
    net::problem over_quota(const open_call& call);
    void return_quota(const open_call& call);
    void submit(open_call& call);
    net::awaitable<bool> wait_for_decision(open_call& call);
    std::optional<net::problem> blocked_problem(const open_call& call) const;
    [[nodiscard]] net::problem stopping_problem(const open_call& call) const;
    net::awaitable<void> give_up_blocked(net::http_exchange& exchange, open_call& call,
                                         net::problem problem);
    void note_connection_lost(const open_call& call);
    void note_served(const open_call& call);
    net::awaitable<attempt_end> run_attempt(net::http_exchange& exchange, open_call& call,
                                            resume_filter& events);
    net::awaitable<attempt_end> relay_answer(net::http_exchange& exchange, open_call& call,
                                             resume_filter& events);
    static net::awaitable<void> send_stream_head(net::http_exchange& exchange, open_call& call);
    net::awaitable<bool> relay_stream(net::http_exchange& exchange, open_call& call,
                                      resume_filter& events);
    net::awaitable<void> serve_admitted(net::http_exchange& exchange, open_call& call);
    net::awaitable<void> give_up(net::http_exchange& exchange, open_call& call);
    net::awaitable<void> refuse(net::http_exchange& exchange, const open_call& call,
                                net::problem problem);
    net::http_response record_refusal(const open_call& call, const net::problem& problem);
    void record_first_byte(open_call& call);
    void record_chunk(open_call& call);
    attempt_end handle_failure(open_call& call, std::string_view fault);
    attempt_end classify(open_call& call);
    void report_response(const open_call& call);
    [[nodiscard]] bool sent_to_present_run(const open_call& call) const;
    void note_failed(open_call& call);
    void record_endpoint_refusal(const open_call& call);
    bool may_retry(open_call& call, attempt_end end, bool started);
    void end_attempt(open_call& call);
    void finish(open_call& call, std::string_view outcome, int status);

    node_view& view_;
    call_placer& placer_;
    hooks on_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, std::shared_ptr<open_call>> calls_;
    std::optional<fleet::shutdown_schedule> shutdown_; ///< Set once the node stops.
};

} // namespace dragonflystair::gateway
