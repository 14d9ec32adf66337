#include "model_calls.h"

#include "dragonflystair/support/hash.h"

#include "sleep.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::node {

namespace {

constexpr double retry_share = 0.1;
constexpr double retry_burst = 50;
/// Pauses before the next attempt: at another endpoint, and while owners change.
constexpr std::chrono::milliseconds retry_pause{50};
constexpr std::chrono::milliseconds takeover_pause{200};

/// Causes that pass with a change of owner and tell nothing of the endpoint or the request.
bool passing(std::string_view reason) {
    return reason == "not_owner" || reason == "endpoint_leaving" || reason == "draining" ||
           reason == "owner_unreachable" || reason == "peer_link_down" || reason == "no_endpoint";
}

/// Refusals that say something about one endpoint only, so that another one may do better.
bool of_one_endpoint(std::string_view reason) {
    return reason == "deadline_unreachable" || reason == "queue_full" || reason == "load_failed";
}

problem problem_of(const attempt_end& end) {
    problem item;
    item.outcome = end.kind == attempt_end_kind::refused ? "not_run" : "unknown";
    item.reason = end.reason;
    item.retry_after = end.retry_after.count() > 0 ? end.retry_after : std::chrono::seconds{1};
    item.detail = "the request was not completed";
    if (end.reason == "quarantined") {
        item.status = 422;
        item.retry_after = {};
        item.detail = "this request crashed endpoints before and is not run again";
    }
    return item;
}

} // namespace

model_calls::model_calls(model_call_services services)
    : services_(std::move(services)), router_(policy::router_limits{}),
      budget_(retry_share, retry_burst), random_(std::random_device{}()) {}

net::awaitable<void> model_calls::serve(net::http_exchange& exchange, bool chat) {
    const auto now = node_context::now();
    const auto view = services_.config.view();
    auto read = read_model_request(exchange.request(), chat, *view, now);
    if (const auto* fault = std::get_if<problem>(&read)) {
        services_.context.counters.increment("refusals_total", fault->reason);
        co_await exchange.respond(problem_response(*fault));
        co_return;
    }
    co_await run(exchange, std::get<model_request>(std::move(read)));
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
            co_await refuse(writer, ended(attempt_end_kind::refused, "quarantined"));
            co_return;
        }
        auto route = route_for(call.request.service, call.request.model, call.excluded);
        if (!route && !call.excluded.empty()) {
            // All endpoints were tried; a passing fault of one of them may be over.
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
            co_await refuse(writer, end);
            co_return;
        }
        services_.context.counters.increment("retries_total", end.reason);
        if (route) {
            call.excluded.push_back(route->endpoint);
        }
        co_await sleep_for(passing(end.reason) ? takeover_pause : retry_pause);
    }
}

net::awaitable<attempt_end> model_calls::run_attempt(call_state& call, answer_writer& writer,
                                                     stream::stream_check& check,
                                                     net::http_exchange& exchange,
                                                     const policy::route& route) {
    const auto& endpoint = route.endpoint;
    const auto& request = call.request;
    const auto now = node_context::now();
    attempt item;
    item.id = support::random_id();
    item.endpoint = endpoint;
    item.model = request.model;
    item.body = request.body;
    item.chat = request.chat;
    item.long_work = request.long_work;
    item.isolated = services_.crashes.state(request.fingerprint, now) == policy::suspicion::suspect;
    item.fingerprint = request.fingerprint;
    item.resume_from = check.expected();
    item.deadline = request.deadline;
    call.tokens_since_sample = 0;

    auto queue = std::make_shared<event_queue>(services_.context.executor);
    const call_sink sink = [queue](call_event event) { queue->push(std::move(event)); };
    exchange.on_disconnect(
        [queue] { queue->push(ended(attempt_end_kind::caller_gone, "caller_gone")); });
    services_.directory.on_attempt_begin(endpoint);
    auto end = ended(attempt_end_kind::interrupted, "owner_unreachable");
    if (send_attempt(item, sink)) {
        end = co_await relay(call, writer, check, *queue, route);
        if (end.kind != attempt_end_kind::completed && end.kind != attempt_end_kind::refused) {
            cancel(item);
        }
    }
    if (end.kind == attempt_end_kind::crashed) {
        on_crashed(item, check.expected() > item.resume_from);
    }
    services_.remote_attempts.remove(item.id);
    services_.directory.on_attempt_end(endpoint);
    const bool broken =
        end.kind == attempt_end_kind::interrupted || end.kind == attempt_end_kind::crashed;
    if (broken && !passing(end.reason)) {
        services_.directory.on_failure(endpoint, node_context::now());
    }
    co_return end;
}

void model_calls::on_crashed(const attempt& item, bool had_tokens) {
    if (services_.owners.find(item.endpoint)) {
        // This node owns the endpoint and has seen the crash with all its requests.
        return;
    }
    const auto now = node_context::now();
    if (item.isolated) {
        services_.crashes.mark_quarantined(item.fingerprint, now);
    } else if (had_tokens) {
        services_.crashes.on_crash_after_tokens(item.fingerprint, now);
    } else {
        services_.crashes.mark_suspect(item.fingerprint, now);
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
        note_progress(call, route);
        const bool sent = co_await writer.write(token.position, token.data);
        if (!sent) {
            co_return ended(attempt_end_kind::caller_gone, "caller_gone");
        }
    }
}

void model_calls::note_progress(call_state& call, const policy::route& route) {
    // The gap between two tokens tells an endpoint's speed; the time to the first token would count
    // its queue and loads too. The queue of this call may hand over several tokens at once, so the
    // gap is averaged over some of them.
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

bool model_calls::send_attempt(const attempt& item, const call_sink& sink) {
    const auto owner = services_.members.owner_of(item.endpoint);
    if (!owner) {
        return false;
    }
    if (owner->session.incarnation == services_.context.incarnation) {
        const auto owned = services_.owners.find(item.endpoint);
        if (!owned) {
            return false;
        }
        owned->submit(item, sink);
        return true;
    }
    auto frame = to_json(item, node_context::now());
    frame["type"] = "open_call";
    services_.remote_attempts.add(item.id, owner->session.incarnation, sink);
    return services_.send(owner->session.incarnation, frame);
}

void model_calls::cancel(const attempt& item) {
    services_.owners.cancel(item.id);
    const auto owner = services_.members.owner_of(item.endpoint);
    if (owner && owner->session.incarnation != services_.context.incarnation) {
        services_.send(owner->session.incarnation, {{"type", "cancel_call"}, {"id", item.id}});
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
    const bool held_elsewhere =
        std::ranges::any_of(candidates, [](const auto& candidate) { return candidate.resident; });
    const std::lock_guard lock(mutex_);
    if (!held_elsewhere && !leaving.empty()) {
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
    if (passing(end.reason)) {
        return may_wait_for_owner(call, now);
    }
    if (of_one_endpoint(end.reason)) {
        // Nothing has run, so one other endpoint is asked; more would only spread an overload. A
        // request that has waited for long is refused, since loads fail everywhere when the store
        // is down.
        return now - call.began < new_request_patience &&
               !std::exchange(call.asked_elsewhere, true);
    }
    const bool broken =
        end.kind == attempt_end_kind::interrupted || end.kind == attempt_end_kind::crashed;
    if (!broken || ++call.broken_attempts >= max_broken_attempts) {
        return false;
    }
    // An answer that has begun is always resumed: it adds no work, and the budget would cut off
    // most streams when many endpoints fail at once.
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
    // An answer that has begun waits for a whole takeover; a request that has not is refused
    // sooner, so that its caller can be told when to come back.
    const auto& settings = services_.context.settings;
    const auto takeover = settings.lease + settings.lease_margin + std::chrono::seconds{5};
    const auto patience = call.first_token_seen ? takeover : new_request_patience;
    return now - *call.owner_missing_since < patience;
}

net::awaitable<void> model_calls::refuse(answer_writer& writer, const attempt_end& end) {
    services_.context.counters.increment("refusals_total", end.reason);
    co_await writer.refuse(problem_of(end));
}

} // namespace dragonflystair::node
