#include "plain_calls.h"

#include "dragonflystair/support/hash.h"

#include "model_request.h"
#include "send_result.h"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace dragonflystair::node {

namespace {

constexpr double retry_share = 0.1;
constexpr double retry_burst = 20;
constexpr std::chrono::milliseconds lookup_timeout{2'000};
constexpr std::string_view services_prefix = "/services/";
/// Plain services echo no request id, so on a connection that is used again a late copy of an
/// answer could not be told from the next answer.
constexpr bool reuses_connections = false;

/// Returns the request to send to the endpoint, without connection-specific headers.
net::http_request make_forwarded_request(const net::http_request& request,
                                         const std::string& path) {
    net::http_request copy = request;
    copy.target = path;
    for (const auto* name : {"Connection", "Host", "Keep-Alive", "Transfer-Encoding", "TE",
                             "Upgrade", "Content-Length", "Proxy-Authorization", "Trailer"}) {
        copy.headers.erase(name);
    }
    return copy;
}

net::http_response strip_connection_headers(net::http_response response) {
    for (const auto* name : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"}) {
        response.headers.erase(name);
    }
    return response;
}

std::string digest_of(const net::http_request& request, const std::string& path) {
    const auto head = fmt::format("{} {}\n", request.method, path);
    return fmt::format("{:016x}{:016x}", support::fingerprint(head + request.body),
                       support::fingerprint(request.body + head));
}

net::http_response response_of(const ledger::key_outcome& outcome) {
    net::http_response response;
    response.status = outcome.status;
    response.headers["X-Outcome"] = "completed";
    if (outcome.body_dropped) {
        response.headers["X-Body-Dropped"] = "true";
    }
    response.headers["Content-Type"] = outcome.content_type;
    response.body = outcome.body;
    return response;
}

calls::call_answer completed_answer(const net::http_response& found) {
    ledger::key_outcome outcome;
    outcome.status = found.status;
    outcome.content_type = std::string(net::header(found.headers, "Content-Type"));
    outcome.body = found.body;
    return {calls::call_outcome::completed, {}, std::move(outcome)};
}

problem problem_of(const calls::call_answer& result, bool timed_out) {
    const bool may_have_run = result.outcome == calls::call_outcome::unknown;
    auto refusal = failed_call(
        {may_have_run, timed_out || result.reason == "deadline"}, result.reason,
        may_have_run ? "the call may have run; retry with the same key to get its outcome"
                     : "the call was not run",
        std::chrono::seconds{1});
    if (result.reason == "key_conflict") {
        refusal.status = 409;
        refusal.retry_after = {};
        refusal.detail = "the idempotency key was already used for a different request";
    }
    return refusal;
}

/// Returns the answer in a step of a dispatched call, or `unknown` if the step has none, since the
/// endpoint may have run the call.
calls::call_answer answer_after_dispatch(const calls::call_step& step) {
    return step.answer.value_or(
        calls::call_answer{calls::call_outcome::unknown, "no_answer", std::nullopt});
}

} // namespace

/// Passes the steps of one claimed call from the thread that reads the log to the call's coroutine.
class plain_calls::step_queue {
public:
    explicit step_queue(const net::executor& executor) : channel(executor, 8) {}
    boost::asio::experimental::concurrent_channel<void(boost::system::error_code, calls::call_step)>
        channel;
};

plain_calls::plain_calls(plain_call_services services)
    : services_(services), budget_(retry_share, retry_burst), random_(std::random_device{}()) {}

std::chrono::milliseconds plain_calls::time_left(const plain_call& call) {
    // Rounded up, so that the deadline has passed when a request times out.
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(call.deadline - node_context::now());
    return std::max(left, std::chrono::milliseconds{1});
}

net::awaitable<void> plain_calls::serve(net::http_exchange& exchange) {
    const auto& request = exchange.request();
    const auto target = std::string_view(request.target).substr(services_prefix.size());
    const auto end = target.find_first_of("/?");
    plain_call call;
    call.service_name = std::string(target.substr(0, end));
    call.path = end == std::string_view::npos ? "/" : std::string(target.substr(end));
    if (!call.path.starts_with('/')) {
        call.path.insert(0, "/");
    }
    const auto view = services_.config.view();
    const auto found = view->deployment.services.find(call.service_name);
    if (found == view->deployment.services.end() ||
        found->second.kind != config::service_kind::plain) {
        co_await refuse(exchange,
                        not_run(404, "unknown_service", "no plain service with this name"));
        co_return;
    }
    call.service = found->second;
    call.number = next_number_++;
    call.request = make_forwarded_request(request, call.path);
    call.deadline = deadline_of(request.headers, node_context::now());
    services_.context.counters.increment("plain_requests_total");
    const auto began = node_context::now();
    if (call.service.is_non_idempotent(request.method, net::path_of(call.path))) {
        co_await serve_claimed(exchange, std::move(call));
    } else {
        co_await serve_idempotent(exchange, std::move(call));
    }
    services_.context.plain_call_latency.record(node_context::now() - began);
}

std::optional<endpoint_row> plain_calls::choose(const std::string& service,
                                                const std::set<std::string>& excluded) {
    std::vector<endpoint_row> candidates;
    bool best_in_same_region = false;
    for (auto& row : services_.directory.of_service(service, node_context::now())) {
        const auto state = row.status.state;
        if (state == membership::endpoint_state::leaving ||
            state == membership::endpoint_state::gone || excluded.contains(row.status.vm.id)) {
            continue;
        }
        const bool same_region = row.status.region == services_.context.settings.region;
        if (same_region && !best_in_same_region) {
            candidates.clear();
            best_in_same_region = true;
        }
        if (same_region == best_in_same_region) {
            candidates.push_back(std::move(row));
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto cost = [](const endpoint_row& row) {
        return static_cast<double>(row.own_in_flight + 1) / std::max(row.health, 0.01);
    };
    const std::lock_guard lock(mutex_);
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const auto& first = candidates[any(random_)];
    const auto& second = candidates[any(random_)];
    return cost(first) <= cost(second) ? first : second;
}

net::awaitable<void> plain_calls::serve_idempotent(net::http_exchange& exchange, plain_call call) {
    std::set<std::string> excluded;
    std::string reason = "no_endpoint";
    bool may_have_run = false;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const auto row = choose(call.service_name, excluded);
        if (!row) {
            break;
        }
        const auto& id = row->status.vm.id;
        services_.directory.on_attempt_begin(id);
        const auto sent_at = node_context::now();
        auto answer = co_await services_.http.request(row->status.vm.address, call.request,
                                                      time_left(call), reuses_connections);
        services_.directory.on_attempt_end(id);
        const auto result = result_of(answer);
        if (result == send_result::answered) {
            const auto answered_at = node_context::now();
            services_.directory.on_latency(id, answered_at - sent_at, answered_at);
            {
                const std::lock_guard lock(mutex_);
                budget_.on_success();
            }
            auto response = strip_connection_headers(std::move(answer.value()));
            co_await exchange.respond(std::move(response));
            co_return;
        }
        services_.directory.on_failure(id, node_context::now());
        reason = failure_reason(answer);
        may_have_run = may_have_run || result == send_result::unknown;
        excluded.insert(id);
        bool allowed = false;
        {
            const std::lock_guard lock(mutex_);
            allowed = budget_.try_take();
        }
        if (!allowed || node_context::now() >= call.deadline) {
            break;
        }
        services_.context.counters.increment("retries_total", reason);
    }
    auto refusal = failed_call({may_have_run, node_context::now() >= call.deadline}, reason,
                               "no endpoint answered", std::chrono::seconds{1});
    co_await refuse(exchange, std::move(refusal));
}

std::string plain_calls::scoped_key(const plain_call& call) {
    // The service name keeps equal keys of different services apart.
    const auto key = net::header(call.request.headers, "Idempotency-Key");
    return call.service_name + "/" + std::string(key);
}

net::awaitable<void> plain_calls::serve_claimed(net::http_exchange& exchange, plain_call call) {
    const std::string key(net::header(call.request.headers, "Idempotency-Key"));
    if (key.empty() || key.size() > 200) {
        co_await refuse(
            exchange, not_run(400, "missing_idempotency_key",
                              "non-idempotent calls require an Idempotency-Key of 1 to 200 bytes"));
        co_return;
    }
    const auto now = node_context::now();
    auto queue = std::make_shared<step_queue>(services_.context.executor);
    {
        const std::lock_guard lock(mutex_);
        queues_[call.number] = queue;
    }
    // The service name keeps equal keys of different services apart.
    const auto scoped_key = call.service_name + "/" + key;
    auto step =
        services_.claims.begin(call.number, scoped_key, digest_of(call.request, call.path), now,
                               std::min(now + claim_timeout, call.deadline), call.deadline);
    while (!step.answer && !step.dispatch) {
        step = co_await wait_for_step(queue);
    }
    calls::call_answer result;
    if (step.dispatch) {
        result = co_await dispatch(call);
    } else {
        result = *step.answer;
    }
    {
        const std::lock_guard lock(mutex_);
        queues_.erase(call.number);
    }
    co_await answer(exchange, std::move(call), std::move(result));
}

net::awaitable<calls::call_step> plain_calls::wait_for_step(std::shared_ptr<step_queue> queue) {
    auto step = co_await queue->channel.async_receive(boost::asio::use_awaitable);
    co_return step;
}

void plain_calls::on_step(claim_table::call_number call, const calls::call_step& step) {
    std::shared_ptr<step_queue> queue;
    {
        const std::lock_guard lock(mutex_);
        const auto found = queues_.find(call);
        if (found == queues_.end()) {
            return;
        }
        queue = found->second;
    }
    queue->channel.try_send(boost::system::error_code{}, step);
}

net::awaitable<calls::call_answer> plain_calls::dispatch(plain_call call) {
    const auto number = call.number;
    std::set<std::string> excluded;
    for (;;) {
        const auto row = choose(call.service_name, excluded);
        if (!row) {
            break;
        }
        const auto& id = row->status.vm.id;
        services_.directory.on_attempt_begin(id);
        auto answer = co_await services_.http.request(row->status.vm.address, call.request,
                                                      time_left(call), reuses_connections);
        services_.directory.on_attempt_end(id);
        const auto result = result_of(answer);
        if (result == send_result::answered) {
            const auto& response = answer.value();
            const auto step = services_.claims.on_event([&](auto& coordinator) {
                return coordinator.on_answer(number, response.status,
                                             net::header(response.headers, "Content-Type"),
                                             response.body);
            });
            co_return answer_after_dispatch(step);
        }
        if (result == send_result::unknown) {
            services_.directory.on_failure(id, node_context::now());
            const auto found = co_await look_up_status(call);
            const auto step = services_.claims.on_event([&](auto& coordinator) {
                // The coordinator accepts a lookup result only after the call is recorded as
                // unanswered.
                auto unanswered = coordinator.on_no_answer(number);
                return found ? coordinator.on_lookup_found(
                                   number, found->status,
                                   net::header(found->headers, "Content-Type"), found->body)
                             : std::move(unanswered);
            });
            co_return answer_after_dispatch(step);
        }
        // Nothing has run, so the call may be sent to another endpoint under the same claim.
        services_.directory.on_failure(id, node_context::now());
        services_.context.counters.increment("retries_total", "endpoint_refused");
        excluded.insert(id);
    }
    const auto step = services_.claims.on_event(
        [&](auto& coordinator) { return coordinator.on_refused(number); });
    co_return answer_after_dispatch(step);
}

net::awaitable<std::optional<net::http_response>> plain_calls::look_up_status(plain_call call) {
    const auto at = call.service.status_lookup.find("{key}");
    if (at == std::string::npos) {
        co_return std::nullopt;
    }
    net::http_request request;
    request.target = call.service.status_lookup;
    request.target.replace(at, 5, net::header(call.request.headers, "Idempotency-Key"));
    std::set<std::string> excluded;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const auto row = choose(call.service_name, excluded);
        if (!row) {
            break;
        }
        excluded.insert(row->status.vm.id);
        auto answer = co_await services_.http.request(row->status.vm.address, request,
                                                      lookup_timeout, reuses_connections);
        if (answer.has_value() && answer.value().status == 200) {
            services_.context.counters.increment("status_lookups_total", "found");
            co_return std::move(answer.value());
        }
    }
    services_.context.counters.increment("status_lookups_total", "not_found");
    co_return std::nullopt;
}

net::awaitable<void> plain_calls::answer(net::http_exchange& exchange, plain_call call,
                                         calls::call_answer result) {
    // A refusal by an endpoint implies that this node's claim took effect, so no other node has run
    // the key. In all other cases the other nodes are queried before `not_run` is returned.
    if (result.outcome == calls::call_outcome::not_run && result.reason != "endpoint_refused") {
        const auto key = scoped_key(call);
        if (!co_await services_.inquiry.confirm_not_run(key)) {
            services_.context.counters.increment("not_run_withheld_total", result.reason);
            result.outcome = calls::call_outcome::unknown;
        }
    }
    // On a key conflict the lookup would return the result of the other request that uses the key.
    if (result.outcome == calls::call_outcome::unknown && result.reason != "key_conflict") {
        const auto found = co_await look_up_status(call);
        if (found) {
            result = completed_answer(*found);
        }
    }
    if (result.outcome == calls::call_outcome::completed && result.result) {
        services_.context.counters.increment("claimed_calls_total", "completed");
        auto response = response_of(*result.result);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    auto refusal = problem_of(result, node_context::now() >= call.deadline);
    services_.context.counters.increment("claimed_calls_total", refusal.outcome);
    co_await refuse(exchange, std::move(refusal));
}

net::awaitable<void> plain_calls::refuse(net::http_exchange& exchange, problem refusal) {
    services_.context.counters.increment("refusals_total", refusal.reason);
    co_await exchange.respond(problem_response(refusal));
}

} // namespace dragonflystair::node
