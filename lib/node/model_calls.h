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

/// Node components that model calls depend on.
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

/// Handles model requests on the entry node: chooses an endpoint, sends the request to the
/// endpoint's owner, streams the answer to the caller, and resumes on another endpoint if an
/// attempt fails.
class model_calls {
public:
    /// Number of consecutive attempts that fail without a new token after which a request is
    /// refused.
    static constexpr int max_broken_attempts = 6;
    /// Number of token intervals averaged into one latency sample of an endpoint.
    static constexpr int tokens_per_sample = 8;
    /// Longest time that a request without a first token waits for its endpoint to get an owner,
    /// and the age from which such a request is no longer retried on another endpoint.
    static constexpr std::chrono::milliseconds new_request_wait_limit{3'000};

    explicit model_calls(model_call_services services);

    /// Serves one completion request; `chat` selects the chat interface.
    net::awaitable<void> serve(net::http_exchange& exchange, bool chat);

    /// Returns the endpoint to which a request for a model would be routed now, or nullopt if there
    /// is none.
    [[nodiscard]] std::optional<policy::route> route_for(const std::string& service,
                                                         const std::string& model,
                                                         std::span<const std::string> excluded);

private:
    struct call_state {
        model_request request;
        std::vector<std::string> excluded;
        int broken_attempts = 0; ///< Consecutive failed attempts without a new token.
        bool first_token_seen = false;
        bool may_have_run = false; ///< An attempt has reached its endpoint or may have done so.
        support::time_point began;
        std::optional<support::time_point> owner_missing_since;
        /// Whether another endpoint was tried after a refusal specific to one endpoint.
        bool tried_other_endpoint = false;
        int tokens_since_sample = 0;
        support::time_point sample_began;
    };

    net::awaitable<void> run(net::http_exchange& exchange, model_request request);
    net::awaitable<attempt_end> run_attempt(call_state& call, answer_writer& writer,
                                            stream::stream_check& check,
                                            net::http_exchange& exchange,
                                            const policy::route& route);
    /// Records a crash during an attempt on another node's endpoint.
    void on_crashed(const attempt& outgoing, bool had_tokens);
    /// Streams the events of an attempt to the caller until the attempt ends.
    net::awaitable<attempt_end> relay(call_state& call, answer_writer& writer,
                                      stream::stream_check& check, event_queue& queue,
                                      const policy::route& route);
    [[nodiscard]] policy::route_candidate candidate_of(const endpoint_row& row,
                                                       const std::string& model) const;
    void sample_token_latency(call_state& call, const policy::route& route);
    /// Sends an attempt to its endpoint's owner; false if the owner is unknown or unreachable.
    bool send_attempt(const attempt& outgoing, const call_sink& sink);
    void cancel(const attempt& outgoing);
    [[nodiscard]] bool may_wait_for_owner(call_state& call, support::time_point now);
    [[nodiscard]] bool may_retry(call_state& call, const attempt_end& end);
    net::awaitable<void> refuse(answer_writer& writer, const call_state& call,
                                const attempt_end& end);

    model_call_services services_;
    policy::router router_;
    std::mutex mutex_; ///< Guards `budget_` and `random_`; last in the lock order.
    policy::retry_budget budget_;
    std::mt19937_64 random_;
};

} // namespace dragonflystair::node
