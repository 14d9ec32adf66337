#pragma once

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
#include <string>
#include <string_view>

namespace dragonflystair::gateway {

/// Serves callers: finds the route, waits for the dispatcher's decision, forwards the call and
/// hands back the answer.
class call_relay {
public:
    struct hooks {
        /// A call lost its connection to an endpoint; peers should know its fingerprint.
        std::function<void(std::uint64_t fingerprint)> on_connection_lost;
        /// What an answer says about the run of its endpoint that began then.
        std::function<void(std::string_view endpoint, std::uint64_t started_ms,
                           const platform::endpoint_notice&, support::time_point sent)>
            on_notice;
    };

    call_relay(node_view& view, call_placer& placer, hooks callbacks)
        : view_(view), placer_(placer), on_(std::move(callbacks)) {}

    net::awaitable<void> serve(net::http_exchange& exchange);

    /// Hands a decision of the dispatcher to its call.
    void decide(const fleet::dispatch_decision& decision);

    [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

private:
    enum class attempt_end {
        answered,
        not_run,
        failed,
        given_up,
        withheld, ///< Nothing was sent, since the endpoint leaves or wants to be left alone.
    };

    /// Fills in what the caller asked for; returns a problem if it cannot be served.
    std::optional<net::problem> admit(const net::http_exchange& exchange, open_call& call);
    void submit(open_call& call);
    net::awaitable<bool> wait_for_decision(open_call& call);
    net::awaitable<attempt_end> run_attempt(net::http_exchange& exchange, open_call& call,
                                            resume_filter& events);
    net::awaitable<attempt_end> relay_answer(net::http_exchange& exchange, open_call& call,
                                             resume_filter& events);
    net::awaitable<bool> relay_stream(net::http_exchange& exchange, open_call& call,
                                      resume_filter& events);
    net::awaitable<void> serve_admitted(net::http_exchange& exchange, open_call& call);
    net::awaitable<void> give_up(net::http_exchange& exchange, open_call& call, bool started);
    net::awaitable<void> refuse(net::http_exchange& exchange, const open_call& call,
                                net::problem item);
    void note_refusal(const open_call& call, const net::problem& item);
    static void note_piece(open_call& call);
    attempt_end after_failure(open_call& call, std::string_view fault);
    attempt_end classify(open_call& call);
    void note_head(const open_call& call);
    bool may_retry(open_call& call, attempt_end end, bool started);
    void end_attempt(open_call& call);
    void finish(open_call& call, std::string_view outcome, int status);

    node_view& view_;
    call_placer& placer_;
    hooks on_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, std::shared_ptr<open_call>> calls_;
};

} // namespace dragonflystair::gateway
