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

/// Services of the node that plain calls use.
struct plain_call_services {
    node_context& context;
    const config_table& config;
    endpoint_directory& directory;
    claim_table& claims;
    key_inquiry& inquiry;
    net::http_client& http;
};

/// Calls to plain services. Idempotent ones may be repeated at another endpoint; the others are
/// claimed on the log and dispatched at most once.
class plain_calls {
public:
    /// Wait for a claim to be read back from the log.
    static constexpr std::chrono::milliseconds claim_timeout{2'000};
    static constexpr int max_attempts = 3;

    explicit plain_calls(plain_call_services services);

    net::awaitable<void> serve(net::http_exchange& exchange);

    /// A step of the claim table for one of the calls here.
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
    net::awaitable<std::optional<net::http_response>> look_up(plain_call call);
    net::awaitable<void> answer(net::http_exchange& exchange, plain_call call,
                                calls::call_answer result);
    net::awaitable<void> refuse(net::http_exchange& exchange, problem item);
    [[nodiscard]] std::optional<endpoint_row> choose(const std::string& service,
                                                     const std::set<std::string>& excluded);
    [[nodiscard]] static std::string full_key(const plain_call& call);
    [[nodiscard]] static std::chrono::milliseconds time_left(const plain_call& call);

    plain_call_services services_;
    std::atomic<claim_table::call_number> next_number_ = 1;
    std::mutex mutex_;
    std::map<claim_table::call_number, std::shared_ptr<step_queue>> queues_;
    policy::retry_budget budget_;
    std::mt19937_64 random_;
};

} // namespace dragonflystair::node
