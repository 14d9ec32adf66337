#pragma once

#include "dragonflystair/net/http_server.h"
#include "dragonflystair/policy/retry_budget.h"
#include "dragonflystair/policy/router.h"
#include "dragonflystair/stream/stream_check.h"

#include "answer_writer.h"
#include "attempt.h"
#include "attempt_registry.h"
#include "config_table.h"
#include "crash_table.h"
#include "endpoint_directory.h"
#include "event_queue.h"
#include "member_table.h"
#include "model_request.h"
#include "node_context.h"
#include "owner_table.h"

#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dragonflystair::node {

/// Services of the node that model calls use.
struct model_call_services {
    node_context& context;
    const config_table& config;
    const member_table& members;
    endpoint_directory& directory;
    owner_table& owners;
    attempt_registry& remote_attempts;
    crash_table& crashes;
    std::function<bool(std::string_view peer, const support::json& frame)> send;
};

/// The entry node's side of a model request: chooses an endpoint, sends the request to its owner,
/// relays the answer, and goes on elsewhere when an attempt breaks.
class model_calls {
public:
    /// Attempts in a row that broke without a new token, after which a request is given up.
    static constexpr int max_broken_attempts = 6;
    /// Tokens over which one sample of an endpoint's speed is averaged.
    static constexpr int tokens_per_sample = 8;
    /// Wait of a request without a first token for an endpoint to get an owner.
    static constexpr std::chrono::milliseconds new_request_patience{3'000};

    explicit model_calls(model_call_services services);

    net::awaitable<void> serve(net::http_exchange& exchange, bool chat);

    /// Endpoint that a request for a model would get now, for `resolve`.
    [[nodiscard]] std::optional<policy::route> route_for(const std::string& service,
                                                         const std::string& model,
                                                         std::span<const std::string> excluded);

private:
    struct call_state {
        model_request request;
        std::vector<std::string> excluded;
        int broken_attempts = 0; ///< In a row, without a new token.
        bool first_token_seen = false;
        support::time_point began;
        std::optional<support::time_point> owner_missing_since;
        bool asked_elsewhere = false; ///< After a refusal for an endpoint's backlog.
        int tokens_since_sample = 0;
        support::time_point sample_began;
    };

    net::awaitable<void> run(net::http_exchange& exchange, model_request request);
    net::awaitable<attempt_end> run_attempt(call_state& call, answer_writer& writer,
                                            stream::stream_check& check,
                                            net::http_exchange& exchange,
                                            const policy::route& route);
    void on_crashed(const attempt& item, bool had_tokens);
    net::awaitable<attempt_end> relay(call_state& call, answer_writer& writer,
                                      stream::stream_check& check, event_queue& queue,
                                      const policy::route& route);
    [[nodiscard]] policy::route_candidate candidate_of(const endpoint_row& row,
                                                       const std::string& model) const;
    void note_progress(call_state& call, const policy::route& route);
    bool send_attempt(const attempt& item, const call_sink& sink);
    void cancel(const attempt& item);
    [[nodiscard]] bool may_wait_for_owner(call_state& call, support::time_point now);
    [[nodiscard]] bool may_retry(call_state& call, const attempt_end& end);
    net::awaitable<void> refuse(answer_writer& writer, const attempt_end& end);

    model_call_services services_;
    policy::router router_;
    std::mutex mutex_; ///< Guards the budget and the random source; taken last.
    policy::retry_budget budget_;
    std::mt19937_64 random_;
};

} // namespace dragonflystair::node
