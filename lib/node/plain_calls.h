#pragma once

#include "dragonflystair/net/http_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/policy/retry_budget.h"

#include "claim_table.h"
#include "config_table.h"
#include "endpoint_directory.h"
#include "key_inquiry.h"
#include "node_context.h"
#include "problem.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace dragonflystair::node {

/// Node components that plain calls depend on.
struct plain_call_services {
    node_context& context;
    const config_table& config;
    endpoint_directory& directory;
    claim_table& claims;
    key_inquiry& inquiry;
    net::http_client& http;
};

/// Forwards calls to plain services. Idempotent calls may be retried on another endpoint;
/// non-idempotent calls are claimed on the log and dispatched at most once.
class plain_calls {
public:
    /// Longest wait for a claim to be read back from the log.
    static constexpr std::chrono::milliseconds claim_timeout{2'000};
    /// Endpoints tried for an idempotent call or for a status lookup.
    static constexpr int max_attempts = 3;

    explicit plain_calls(plain_call_services services);

    /// Serves one request whose path starts with `/services/`.
    net::awaitable<void> serve(net::http_exchange& exchange);

    /// Passes a step of the claim table to the coroutine of its call; ignored if the call has
    /// ended.
    void on_step(claim_table::call_number call, const calls::call_step& step);

private:
    class step_queue;

    struct plain_call {
        claim_table::call_number number = 0;
        std::string service_name;
        config::service service;
        std::string path;
        net::http_request request;
        support::time_point deadline;
    };

    net::awaitable<void> serve_idempotent(net::http_exchange& exchange, plain_call call);
    net::awaitable<void> serve_claimed(net::http_exchange& exchange, plain_call call);
    net::awaitable<calls::call_step> wait_for_step(std::shared_ptr<step_queue> queue);
    net::awaitable<calls::call_answer> dispatch(plain_call call);
    /// Queries the service's status lookup for the call's key; nullopt if it has no result.
    net::awaitable<std::optional<net::http_response>> look_up_status(plain_call call);
    net::awaitable<void> answer(net::http_exchange& exchange, plain_call call,
                                calls::call_answer result);
    net::awaitable<void> refuse(net::http_exchange& exchange, problem refusal);
    /// Chooses an endpoint, preferably in this node's region, by the power of two choices. Returns
    /// nullopt if no endpoint is left.
    [[nodiscard]] std::optional<endpoint_row> choose(const std::string& service,
                                                     const std::set<std::string>& excluded);
    /// Returns the idempotency key prefixed with the service's name.
    [[nodiscard]] static std::string scoped_key(const plain_call& call);
    /// Returns the time until the call's deadline, at least 1 ms.
    [[nodiscard]] static std::chrono::milliseconds time_left(const plain_call& call);

    plain_call_services services_;
    std::atomic<claim_table::call_number> next_number_ = 1;
    std::mutex mutex_;
    std::map<claim_table::call_number, std::shared_ptr<step_queue>> queues_;
    policy::retry_budget budget_;
    std::mt19937_64 random_;
};

} // namespace dragonflystair::node
