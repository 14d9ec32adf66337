#include "dragonflystair/support/log.h"

#include "call_relay.h"
#include "platform/call_headers.h"
#include "stream_progress.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;
using support::time_point;

namespace {

/// Time for which an endpoint that refused a connection gets no calls.
constexpr milliseconds refused_connection_backoff{400};

/// An endpoint that has streamed a response for this time did not crash on its beginning.
constexpr milliseconds min_served_stream{1'000};

/// A response with this status has no body, so it is not streamed.
constexpr int no_content = 204;

bool is_success(int status) {
    return status >= 200 && status < 300;
}

std::string milliseconds_since(time_point then) {
    const auto passed = boot_clock::now() - then;
    return std::to_string(std::chrono::duration_cast<milliseconds>(passed).count());
}

/// Returns the first parts of a prompt as ID:TOKENS pairs, for the log.
std::string prompt_text(std::span<const fleet::prompt_part> prompt) {
    constexpr std::size_t max_logged_parts = 8;
    std::string text;
    for (const auto& part : prompt.first(std::min(prompt.size(), max_logged_parts))) {
        fmt::format_to(std::back_inserter(text), "{}{:x}:{}", text.empty() ? "" : ",", part.id,
                       part.tokens);
    }
    return text;
}

} // namespace

net::awaitable<call_relay::attempt_end>
call_relay::run_attempt(net::http_exchange& exchange, open_call& call, resume_filter& events) {
    const auto now = boot_clock::now();
    const auto* record = view_.dispatcher.find(call.decision->endpoint);
    if (record == nullptr) {
        co_return attempt_end::not_run;
    }
    // This node may have received a notice about the endpoint, of leaving or of a backoff, that had
    // not reached the lead when it placed the call.
    if (record->draining || !view_.may_send(record->id, now)) {
        view_.counters.increment("calls_withheld_total", record->draining ? "leaving" : "paused");
        call.last_send = send_outcome::none;
        co_return attempt_end::withheld;
    }
    platform::added_call_headers added;
    added.endpoint = record->id;
    added.remaining =
        std::max(std::chrono::duration_cast<milliseconds>(call.answer_by - now), milliseconds{1});
    added.version = call.decision->version;
    if (!call.request.model.model.empty()) {
        added.urgency = std::clamp(call.priority, 0, 9);
    }
    added.has_tenants = call.configuration->has_tenants;
    added.tenant = call.tenant;
    added.resume_after = events.last_id();
    ++call.sends;
    if (call.quota_taken && call.sends == 1) {
        view_.quotas.on_sent(call.tenant, call.quota_cost);
    }
    call.tests_block = false;
    call.stream_began.reset();
    view_.note_sent(record->id, !events.last_id().empty() ? fleet::request_kind::resumed_stream
                                : call.sends > 1          ? fleet::request_kind::retry
                                                          : fleet::request_kind::first_try);
    call.sent_at = now;
    call.endpoint_started = record->started_ms;
    call.last_send = send_outcome::none;
    call.exchange =
        view_.endpoints.send(record->address, platform::render_call(exchange.request(), added),
                             call.request.id, [&call] { call.changed.notify(); });
    const auto stalls_at = call.route->kind == fleet::call_kind::stream
                               ? now + stall_timeout(*call.route)
                               : call.answer_by;
    while (!call.exchange->head && !call.exchange->end) {
        if (call.caller_gone || boot_clock::now() >= call.answer_by) {
            ++call.runs;
            co_return attempt_end::given_up;
        }
        if (boot_clock::now() >= stalls_at) {
            ++call.runs;
            co_return handle_failure(call, "no response head within the stall timeout");
        }
        co_await call.changed.wait_until(std::min(call.answer_by, stalls_at));
    }
    report_response(call);
    const auto end = classify(call);
    if (end != attempt_end::answered) {
        co_return end;
    }
    co_return co_await relay_answer(exchange, call, events);
}

/// Reports that the endpoint has responded, and the notice about itself that its response carries.
void call_relay::report_response(const open_call& call) {
    if (call.exchange->skipped_responses > 0) {
        view_.counters.increment("endpoint_responses_skipped_total");
    }
    const auto& head = call.exchange->head;
    if (!head) {
        return;
    }
    const auto& endpoint = call.decision->endpoint;
    view_.suspects.on_response(endpoint, call.endpoint_started, call.sent_at);
    view_.crashes.on_response(endpoint, call.endpoint_started, boot_clock::now());
    on_.on_notice(endpoint, call.endpoint_started,
                  platform::notice_of(head->status, head->headers, head->repeated_headers),
                  call.sent_at);
}

/// Classifies an attempt by its response head or the lack of one. Returns `answered` if the
/// response is to be relayed to the caller.
call_relay::attempt_end call_relay::classify(open_call& call) {
    const auto& exchange = *call.exchange;
    const auto endpoint = call.decision->endpoint;
    if (!exchange.head) {
        if (exchange.end == net::exchange_end::not_sent) {
            if (sent_to_present_run(call)) {
                view_.dispatcher.suspend(endpoint, boot_clock::now() + refused_connection_backoff);
            }
            if (exchange.connection_lost) {
                view_.crashes.on_gone(endpoint, call.endpoint_started, boot_clock::now());
            }
            call.last_send = send_outcome::unreachable;
            view_.counters.increment("endpoint_failures_total", "not_sent");
            return attempt_end::not_run;
        }
        ++call.runs;
        return handle_failure(call, exchange.fault);
    }
    const auto marks = platform::metadata_of(exchange.head->status, exchange.head->headers);
    if (marks.not_run) {
        record_endpoint_refusal(call);
        if (exchange.head->status == 421 && !call.request.model.adapter.empty()) {
            call.last_send = send_outcome::not_resident;
            if (sent_to_present_run(call)) {
                view_.dispatcher.set_residency(endpoint, call.request.model,
                                               fleet::residency::absent, 0);
            }
        }
        return attempt_end::not_run;
    }
    ++call.runs;
    if (is_success(exchange.head->status) && !marks.has_signature) {
        return handle_failure(call, "successful response without a signature");
    }
    if (exchange.head->status == 429 || exchange.head->status == 503 ||
        exchange.head->status == 408) {
        return handle_failure(call,
                              "status 408, 429 or 503 without a promise that the call has not run");
    }
    if (!marks.has_signature && exchange.head->status >= 500) {
        return handle_failure(call, "error response without a signature");
    }
    if (exchange.head->status >= 500) {
        note_failed(call);
        view_.counters.increment("endpoint_failures_total", "error_status");
        if (call.route->idempotent() && call.runs < call.route->attempts) {
            return attempt_end::failed;
        }
    }
    return attempt_end::answered;
}

/// Returns whether the run of the endpoint to which the call was sent is still in force. Otherwise
/// the outcome tells nothing of the endpoint.
bool call_relay::sent_to_present_run(const open_call& call) const {
    const auto* record = view_.dispatcher.find(call.decision->endpoint);
    return record != nullptr && record->started_ms == call.endpoint_started;
}

void call_relay::note_failed(open_call& call) {
    call.last_send = send_outcome::failed;
    if (sent_to_present_run(call)) {
        view_.dispatcher.on_failed(call.decision->endpoint, boot_clock::now());
    }
}

void call_relay::record_endpoint_refusal(const open_call& call) {
    const auto status = std::to_string(call.exchange->head->status);
    view_.counters.increment("endpoint_refusals_total", status);
    support::log_request("endpoint_refused",
                         {{"request", call.request.id},
                          {"endpoint", call.decision->endpoint},
                          {"started_ms", std::to_string(call.endpoint_started)},
                          {"status", status},
                          {"send", std::to_string(call.sends)},
                          {"connection", std::to_string(call.exchange->connection)},
                          {"reused", call.exchange->reused_connection ? "yes" : "no"},
                          {"skipped", std::to_string(call.exchange->skipped_responses)},
                          {"sent_before_ms", milliseconds_since(call.sent_at)}});
}

/// Records that the endpoint gave no usable response although it may have run the call. Returns
/// `failed`.
call_relay::attempt_end call_relay::handle_failure(open_call& call, std::string_view fault) {
    note_failed(call);
    if (call.exchange->connection_lost) {
        note_connection_lost(call);
    }
    view_.counters.increment("endpoint_failures_total", "broken");
    support::log_request("endpoint_failed",
                         {{"request", call.request.id},
                          {"endpoint", call.decision->endpoint},
                          {"started_ms", std::to_string(call.endpoint_started)},
                          {"answered", call.exchange->head ? "yes" : "no"},
                          {"received_bytes", std::to_string(call.received_bytes)},
                          {"sent_before_ms", milliseconds_since(call.sent_at)},
                          {"fingerprint", fmt::format("{:016x}", call.traits.fingerprint)},
                          {"prompt", prompt_text(call.request.prompt)},
                          {"fault", std::string(fault)}});
    return attempt_end::failed;
}

net::awaitable<call_relay::attempt_end>
call_relay::relay_answer(net::http_exchange& exchange, open_call& call, resume_filter& events) {
    const int status = call.exchange->head->status;
    if (call.route->kind == fleet::call_kind::stream && is_success(status) &&
        status != no_content) {
        if (!events.started() && !call.exchange->body.empty()) {
            placer_.on_started(call.number);
        }
        const bool complete = co_await relay_stream(exchange, call, events);
        if (complete) {
            note_served(call);
            finish(call, "served", status);
            co_return attempt_end::answered;
        }
        if (call.caller_gone || boot_clock::now() >= call.answer_by) {
            co_return attempt_end::given_up;
        }
        co_return handle_failure(call, call.exchange->end ? call.exchange->fault
                                                          : "stream stalled or event too long");
    }
    while (!call.exchange->end) {
        if (call.caller_gone || boot_clock::now() >= call.answer_by) {
            co_return attempt_end::given_up;
        }
        co_await call.changed.wait_until(call.answer_by);
    }
    if (*call.exchange->end != net::exchange_end::complete) {
        co_return handle_failure(call, call.exchange->fault);
    }
    if (is_success(status)) {
        note_served(call);
    }
    placer_.on_started(call.number);
    if (call.head_sent) {
        // The caller has the head of the stream that this response does not continue.
        finish(call, "not_resumed", status);
        co_return attempt_end::answered;
    }
    net::http_response response;
    response.status = status;
    response.headers = platform::forwarded_headers(call.exchange->head->headers);
    response.body = std::move(call.exchange->body);
    record_first_byte(call);
    finish(call, is_success(status) ? "served" : "endpoint_error", status);
    co_await exchange.respond(std::move(response));
    co_return attempt_end::answered;
}

/// Sends the head of a stream, unless an earlier attempt did so and then broke off.
net::awaitable<void> call_relay::send_stream_head(net::http_exchange& exchange, open_call& call) {
    if (std::exchange(call.head_sent, true)) {
        co_return;
    }
    net::http_response head;
    head.status = call.exchange->head->status;
    head.headers = platform::forwarded_headers(call.exchange->head->headers);
    co_await exchange.begin_stream(std::move(head));
}

/// Relays events as they arrive. Returns false if the stream broke off or stalled, if the caller
/// disconnected or if its deadline passed.
net::awaitable<bool> call_relay::relay_stream(net::http_exchange& exchange, open_call& call,
                                              resume_filter& events) {
    const auto upstream = call.exchange;
    const bool resumed = events.started();
    co_await send_stream_head(exchange, call);
    bool first = true;
    stream_progress progress(stall_timeout(*call.route), boot_clock::now());
    while (true) {
        // Bytes may arrive without a pause and without an end, so the limits are also checked while
        // data is available. A response that has ended is still delivered.
        const bool too_long =
            progress.event_too_long() || events.withheld_bytes() > max_event_bytes;
        if (!upstream->end && (too_long || boot_clock::now() >= call.answer_by)) {
            co_return false;
        }
        if (!upstream->body.empty()) {
            if (std::exchange(first, false)) {
                placer_.on_started(call.number);
                if (!resumed) {
                    record_first_byte(call);
                }
            }
            record_chunk(call);
            progress.feed(upstream->body, boot_clock::now());
            if (!upstream->end && boot_clock::now() >= progress.stalls_at()) {
                co_return false; // Comments and the like may arrive without a pause.
            }
            const auto bytes = events.feed(std::exchange(upstream->body, {}));
            const bool written = co_await exchange.write(bytes);
            if (!written) {
                call.caller_gone = true;
                co_return false;
            }
            continue;
        }
        if (upstream->end) {
            break;
        }
        const auto until = std::min(call.answer_by, progress.stalls_at());
        if (call.caller_gone || boot_clock::now() >= until) {
            co_return false;
        }
        co_await call.changed.wait_until(until);
    }
    if (*upstream->end != net::exchange_end::complete) {
        co_return false;
    }
    if (progress.inside_event()) {
        // The body may end regularly although its source of events has failed.
        upstream->fault = "stream ended inside an event";
        co_return false;
    }
    const auto remainder = events.take_remainder();
    co_await exchange.write(remainder);
    co_await exchange.end_stream();
    co_return true;
}

void call_relay::record_first_byte(open_call& call) {
    call.first_byte_after = boot_clock::now() - call.arrived;
    view_.first_byte_latency.record(call.first_byte_after);
}

/// Records that a part of a stream has arrived.
void call_relay::record_chunk(open_call& call) {
    const auto now = boot_clock::now();
    if (call.last_chunk != time_point{}) {
        call.longest_chunk_gap = std::max(call.longest_chunk_gap, now - call.last_chunk);
    }
    call.last_chunk = now;
    call.stream_began = call.stream_began.value_or(now);
    call.received_bytes += call.exchange->body.size();
    view_.crashes.on_response(call.decision->endpoint, call.endpoint_started, now);
}

/// Records a request that was in flight on a connection that ended, unless its endpoint had been
/// streaming the response for a while or was leaving.
void call_relay::note_connection_lost(const open_call& call) {
    const auto now = boot_clock::now();
    if (call.stream_began && now >= *call.stream_began + min_served_stream) {
        view_.suspects.on_served(call.traits, now);
        return;
    }
    const auto* record = view_.dispatcher.find(call.decision->endpoint);
    if (record != nullptr && !record->draining) {
        view_.crashes.on_connection_lost(record->id, call.endpoint_started, call.traits, now);
    }
}

/// Records that an endpoint has served a request completely.
void call_relay::note_served(const open_call& call) {
    const auto now = boot_clock::now();
    if (call.exchange->connection_lost) {
        // Without a length, the end of the connection may also be that of the endpoint.
        view_.crashes.on_ended_with_connection(call.decision->endpoint, call.endpoint_started,
                                               call.traits, now);
    } else {
        view_.suspects.on_served(call.traits, now);
    }
}

void call_relay::end_attempt(open_call& call) {
    if (!call.exchange) {
        return;
    }
    view_.endpoints.cancel(call.exchange);
    call.exchange.reset();
}

} // namespace dragonflystair::gateway
