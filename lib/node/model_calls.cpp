#include "model_calls.h"

#include "dragonflystair/support/hash.h"

#include "sleep.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::node {

namespace {

constexpr double retry_share = 0.1;
constexpr double retry_burst = 50;
/// Delay before an attempt on another endpoint.
constexpr std::chrono::milliseconds retry_delay{50};
/// Delay before an attempt while the endpoint's owner changes.
constexpr std::chrono::milliseconds takeover_delay{200};

/// Returns true for failures that a change of owner resolves. They indicate no fault of the
/// endpoint or of the request.
bool caused_by_owner_change(std::string_view reason) {
    return reason == "not_owner" || reason == "endpoint_leaving" || reason == "draining" ||
           reason == "owner_unreachable" || reason == "peer_link_down" || reason == "no_endpoint";
}

/// Returns true for refusals due to the state of a single endpoint; another one may accept the
/// request.
bool is_endpoint_specific(std::string_view reason) {
    return reason == "deadline_unreachable" || reason == "queue_full" || reason == "load_failed";
}

problem problem_of(const attempt_end& end, call_progress progress) {
    constexpr std::chrono::milliseconds default_retry_after{1'000};
    auto refusal = failed_call(progress, end.reason, "the request was not completed",
                               end.retry_after.count() > 0 ? end.retry_after : default_retry_after);
    if (end.reason == "quarantined") {
        refusal.status = 422;
        refusal.retry_after = {};
        refusal.detail = "this request has crashed endpoints before and is quarantined";
    }
    return refusal;
}

} // namespace

model_calls::model_calls(model_call_services services)
    : services_(std::move(services)), router_(policy::router_limits{}),
      budget_(retry_share, retry_burst), random_(std::random_device{}()) {}

net::awaitable<void> model_calls::serve(net::http_exchange& exchange, bool chat) {
    const auto now = node_context::now();
    const auto view = services_.config.view();
    auto parsed = read_model_request(exchange.request(), chat, *view, now);
    if (const auto* fault = std::get_if<problem>(&parsed)) {
        services_.context.counters.increment("refusals_total", fault->reason);
        co_await exchange.respond(problem_response(*fault));
        co_return;
    }
    co_await run(exchange, std::get<model_request>(std::move(parsed)));
}

net::awaitable<void> model_calls::run(net::http_exchange& exchange, model_request request) {
    call_state call;
    call.request = std::move(request);
    call.began = node_context::now();
    answer_writer writer(exchange, call.request);
    stream::stream_check check(call.request.model, call.request.first_position);
    services_.context.counters.increment("model_requests_total");
    for (;;) {
        const auto suspicion =
            services_.crashes.state(call.request.fingerprint, node_context::now());
        if (suspicion == policy::suspicion::quarantined) {
            co_await refuse(writer, call, ended(attempt_end_kind::refused, "quarantined"));
            co_return;
        }
        auto route = route_for(call.request.service, call.request.model, call.excluded);
        if (!route && !call.excluded.empty()) {
            // All endpoints have been tried. Try them again, since a transient fault may have
            // cleared.
            call.excluded.clear();
            route = route_for(call.request.service, call.request.model, call.excluded);
        }
        auto end = ended(attempt_end_kind::refused, "no_endpoint", std::chrono::seconds{1});
        if (route) {
            end = co_await run_attempt(call, writer, check, exchange, *route);
        }
        if (end.kind == attempt_end_kind::completed) {
            services_.context.counters.increment("model_answers_total");
            {
                const std::lock_guard lock(mutex_);
                budget_.on_success();
            }
            co_await writer.finish();
            co_return;
        }
        if (end.kind == attempt_end_kind::caller_gone) {
            services_.context.counters.increment("callers_gone_total");
            co_return;
        }
        if (!may_retry(call, end)) {
            co_await refuse(writer, call, end);
            co_return;
        }
        services_.context.counters.increment("retries_total", end.reason);
        if (route) {
            call.excluded.push_back(route->endpoint);
        }
        co_await sleep_for(caused_by_owner_change(end.reason) ? takeover_delay : retry_delay);
    }
}

net::awaitable<attempt_end> model_calls::run_attempt(call_state& call, answer_writer& writer,
                                                     stream::stream_check& check,
                                                     net::http_exchange& exchange,
                                                     const policy::route& route) {
    const auto& endpoint = route.endpoint;
    const auto& request = call.request;
    const auto now = node_context::now();
    attempt outgoing;
    outgoing.id = support::random_id();
    outgoing.endpoint = endpoint;
    outgoing.model = request.model;
    outgoing.body = request.body;
    outgoing.chat = request.chat;
    outgoing.long_work = request.long_work;
    outgoing.isolated =
        services_.crashes.state(request.fingerprint, now) == policy::suspicion::suspect;
    outgoing.fingerprint = request.fingerprint;
    outgoing.resume_from = check.expected();
    outgoing.deadline = request.deadline;
    call.tokens_since_sample = 0;

    auto queue = std::make_shared<event_queue>(services_.context.executor);
    const call_sink sink = [queue](call_event event) { queue->push(std::move(event)); };
    exchange.on_disconnect(
        [queue] { queue->push(ended(attempt_end_kind::caller_gone, "caller_gone")); });
    services_.directory.on_attempt_begin(endpoint);
    auto end = ended(attempt_end_kind::interrupted, "owner_unreachable");
    if (send_attempt(outgoing, sink)) {
        end = co_await relay(call, writer, check, *queue, route);
        // Only a refusal by the owner says that the attempt has not reached its endpoint. An
        // earlier attempt of the call may have.
        call.may_have_run = call.may_have_run || end.kind != attempt_end_kind::refused;
        if (end.kind != attempt_end_kind::completed && end.kind != attempt_end_kind::refused) {
            cancel(outgoing);
        }
    }
    if (end.kind == attempt_end_kind::crashed) {
        on_crashed(outgoing, check.expected() > outgoing.resume_from);
    }
    services_.remote_attempts.remove(outgoing.id);
    services_.directory.on_attempt_end(endpoint);
    const bool broken =
        end.kind == attempt_end_kind::interrupted || end.kind == attempt_end_kind::crashed;
    if (broken && !caused_by_owner_change(end.reason)) {
        services_.directory.on_failure(endpoint, node_context::now());
    }
    co_return end;
}

void model_calls::on_crashed(const attempt& outgoing, bool had_tokens) {
    if (services_.owners.find(outgoing.endpoint)) {
        // The owner, which is this node, has already recorded the crash for all requests that were
        // in flight.
        return;
    }
    const auto now = node_context::now();
    if (outgoing.isolated) {
        services_.crashes.mark_quarantined(outgoing.fingerprint, now);
    } else if (had_tokens) {
        services_.crashes.on_crash_after_tokens(outgoing.fingerprint, now);
    } else {
        services_.crashes.mark_suspect(outgoing.fingerprint, now);
    }
}

net::awaitable<attempt_end> model_calls::relay(call_state& call, answer_writer& writer,
                                               stream::stream_check& check, event_queue& queue,
                                               const policy::route& route) {
    for (;;) {
        auto event = co_await queue.pop();
        if (const auto* end = std::get_if<attempt_end>(&event)) {
            co_return *end;
        }
        const auto& token = std::get<token_event>(event);
        const auto verdict = check.check(token.position, model_of(token.data));
        if (verdict == stream::event_verdict::duplicate) {
            services_.context.counters.increment("events_repeated_total");
            continue;
        }
        if (verdict == stream::event_verdict::gap) {
            co_return ended(attempt_end_kind::interrupted, "stream_gap");
        }
        if (verdict == stream::event_verdict::wrong_model) {
            services_.context.counters.increment("wrong_model_total");
            co_return ended(attempt_end_kind::interrupted, "wrong_model");
        }
        call.owner_missing_since.reset();
        call.broken_attempts = 0;
        if (!std::exchange(call.first_token_seen, true)) {
            const auto latency = node_context::now() - call.began;
            services_.context.first_token_latency.record(latency);
        }
        sample_token_latency(call, route);
        const bool sent = co_await writer.write(token.position, token.data);
        if (!sent) {
            co_return ended(attempt_end_kind::caller_gone, "caller_gone");
        }
    }
}

void model_calls::sample_token_latency(call_state& call, const policy::route& route) {
    // The interval between tokens measures an endpoint's decoding speed; the time to the first
    // token would include queueing and adapter loads. The event queue may deliver several tokens at
    // once, so the interval is averaged over several tokens.
    const auto now = node_context::now();
    if (call.tokens_since_sample++ == 0) {
        call.sample_began = now;
        return;
    }
    if (call.tokens_since_sample <= tokens_per_sample) {
        return;
    }
    services_.directory.on_latency(route.endpoint, (now - call.sample_began) / tokens_per_sample,
                                   now);
    call.tokens_since_sample = 0;
}

bool model_calls::send_attempt(const attempt& outgoing, const call_sink& sink) {
    const auto owner = services_.members.owner_of(outgoing.endpoint);
    if (!owner) {
        return false;
    }
    if (owner->session.incarnation == services_.context.incarnation) {
        const auto owned = services_.owners.find(outgoing.endpoint);
        if (!owned) {
            return false;
        }
        owned->submit(outgoing, sink);
        return true;
    }
    auto frame = to_json(outgoing, node_context::now());
    frame["type"] = "open_call";
    services_.remote_attempts.add(outgoing.id, owner->session.incarnation, sink);
    return services_.send(owner->session.incarnation, frame);
}

void model_calls::cancel(const attempt& outgoing) {
    services_.owners.cancel(outgoing.id);
    const auto owner = services_.members.owner_of(outgoing.endpoint);
    if (owner && owner->session.incarnation != services_.context.incarnation) {
        services_.send(owner->session.incarnation, {{"type", "cancel_call"}, {"id", outgoing.id}});
    }
}

policy::route_candidate model_calls::candidate_of(const endpoint_row& row,
                                                  const std::string& model) const {
    policy::route_candidate candidate;
    candidate.endpoint = row.status.vm.id;
    candidate.same_region = row.status.region == services_.context.settings.region;
    candidate.suspected = row.status.state == membership::endpoint_state::suspected || !row.load;
    candidate.own_in_flight = row.own_in_flight;
    candidate.health = row.health;
    if (row.load) {
        const auto& resident = row.load->resident;
        candidate.resident = std::ranges::find(resident, model) != resident.end();
        candidate.running = row.load->running;
        candidate.queued = row.load->queued;
        candidate.batch_limit = row.load->batch_limit;
        candidate.expected_wait = row.load->expected_wait;
    }
    return candidate;
}

std::optional<policy::route> model_calls::route_for(const std::string& service,
                                                    const std::string& model,
                                                    std::span<const std::string> excluded) {
    std::vector<policy::route_candidate> candidates;
    std::vector<policy::route_candidate> leaving;
    for (const auto& row : services_.directory.of_service(service, node_context::now())) {
        const auto state = row.status.state;
        if (state == membership::endpoint_state::gone ||
            !services_.members.owner_of(row.status.vm.id)) {
            continue;
        }
        auto candidate = candidate_of(row, model);
        if (state != membership::endpoint_state::leaving) {
            candidates.push_back(std::move(candidate));
        } else if (row.in_leaving_grace() && candidate.resident) {
            leaving.push_back(std::move(candidate));
        }
    }
    const bool resident_on_staying_endpoint =
        std::ranges::any_of(candidates, [](const auto& candidate) { return candidate.resident; });
    const std::lock_guard lock(mutex_);
    if (!resident_on_staying_endpoint && !leaving.empty()) {
        if (auto route = router_.choose(model, leaving, excluded, random_)) {
            return route;
        }
    }
    return router_.choose(model, candidates, excluded, random_);
}

bool model_calls::may_retry(call_state& call, const attempt_end& end) {
    const auto now = node_context::now();
    if (now >= call.request.deadline || end.reason == "wrong_model") {
        return false;
    }
    if (caused_by_owner_change(end.reason)) {
        return may_wait_for_owner(call, now);
    }
    if (is_endpoint_specific(end.reason)) {
        // Nothing has run, so the request is retried on one other endpoint; more retries would
        // only spread an overload. A request older than the limit is refused, since loads fail on
        // all endpoints while the adapter store is down.
        return now - call.began < new_request_wait_limit &&
               !std::exchange(call.tried_other_endpoint, true);
    }
    const bool broken =
        end.kind == attempt_end_kind::interrupted || end.kind == attempt_end_kind::crashed;
    if (!broken || ++call.broken_attempts >= max_broken_attempts) {
        return false;
    }
    // A stream that has started is resumed regardless of the retry budget: resuming adds no work,
    // and the budget would terminate most streams when many endpoints fail at once.
    if (call.first_token_seen) {
        return true;
    }
    const std::lock_guard lock(mutex_);
    if (budget_.try_take()) {
        return true;
    }
    services_.context.counters.increment("retry_budget_exhausted_total");
    return false;
}

bool model_calls::may_wait_for_owner(call_state& call, support::time_point now) {
    if (!call.owner_missing_since) {
        call.owner_missing_since = now;
    }
    // A stream that has started waits for a complete takeover. A request without a first token is
    // refused earlier, with a Retry-After for its caller.
    const auto& settings = services_.context.settings;
    const auto takeover = settings.lease + settings.lease_margin + std::chrono::seconds{5};
    const auto wait_limit = call.first_token_seen ? takeover : new_request_wait_limit;
    return now - *call.owner_missing_since < wait_limit;
}

net::awaitable<void> model_calls::refuse(answer_writer& writer, const call_state& call,
                                         const attempt_end& end) {
    services_.context.counters.increment("refusals_total", end.reason);
    const bool timed_out = node_context::now() >= call.request.deadline;
    auto refusal = problem_of(end, {call.may_have_run, timed_out});
    co_await writer.refuse(refusal);
}

} // namespace dragonflystair::node
