#include "dragonflystair/net/spawn.h"

#include "owned_endpoint.h"

#include <boost/asio/co_spawn.hpp>

#include <cstdlib>
#include <utility>

namespace dragonflystair::node {

void owned_endpoint::submit(attempt request, const call_sink& sink) {
    const auto now = node_context::now();
    if (request.isolated) {
        // An isolated request is a crash suspect. The crash may have been at an endpoint of another
        // owner, so this node's table may have no entry for it.
        services_.crashes.mark_suspect(request.fingerprint, now);
    }
    std::optional<policy::refusal> refused;
    {
        const std::lock_guard lock(mutex_);
        if (!ready_ || retired_) {
            refused =
                policy::refusal{policy::refusal_reason::not_owner, std::chrono::milliseconds{500}};
        } else {
            auto active = std::make_shared<active_attempt>();
            active->request = std::move(request);
            active->sink = sink;
            attempts_[active->request.id] = active;
            refused = scheduler_.submit(to_policy_request(active->request), now);
            if (refused) {
                attempts_.erase(active->request.id);
            }
        }
    }
    if (refused) {
        sink(attempt_end{attempt_end_kind::refused, std::string(policy::to_string(refused->reason)),
                         refused->retry_after});
        return;
    }
    pump();
}

void owned_endpoint::cancel(const std::string& id) {
    std::shared_ptr<net::engine_stream> stream;
    {
        const std::lock_guard lock(mutex_);
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        if (!scheduler_.cancel(id, node_context::now())) {
            attempts_.erase(found);
            return;
        }
        found->second->cancelled = true;
        stream = found->second->stream;
    }
    if (stream) {
        stream->close();
    }
    cancel_at_engine(id);
}

void owned_endpoint::cancel_at_engine(const std::string& id) {
    boost::asio::co_spawn(
        services_.context.executor,
        [self = shared_from_this(), id]() -> net::awaitable<void> {
            // Best effort: if the cancellation is lost, the engine runs the request to its end.
            [[maybe_unused]] const auto answer = co_await self->services_.engines.cancel(
                self->setup_.address, id, engine_request_timeout);
        },
        net::exception_logger("owned_endpoint_attempts"));
}

void owned_endpoint::refuse(const std::string& id, const policy::refusal& refusal) {
    call_sink sink;
    {
        const std::lock_guard lock(mutex_);
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        sink = found->second->sink;
        attempts_.erase(found);
    }
    sink(attempt_end{attempt_end_kind::refused, std::string(policy::to_string(refusal.reason)),
                     refusal.retry_after});
}

net::awaitable<void> owned_endpoint::run_attempt(active_ptr active, bool priority) {
    const auto end = co_await stream_attempt(active, priority);
    finish(active, end);
}

net::engine_call owned_endpoint::engine_call_of(const active_attempt& active, bool priority) {
    net::engine_call call{active.request.id, active.request.body, active.request.chat,
                          active.next_position};
    call.body["model"] = active.request.model;
    call.body["stream"] = true;
    call.body["priority"] = priority ? 1 : 0;
    return call;
}

net::awaitable<attempt_end> owned_endpoint::stream_attempt(active_ptr active, bool priority) {
    constexpr int max_reconnects = 2;
    const auto timeout = services_.context.settings.progress_timeout;
    active->next_position = active->request.resume_from;
    for (int reconnects = 0; reconnects <= max_reconnects; ++reconnects) {
        auto call = engine_call_of(*active, priority);
        auto opened = co_await services_.engines.complete(setup_.address, std::move(call), timeout);
        if (!opened.has_value() && opened.error().kind == support::error_kind::refused) {
            co_return ended(attempt_end_kind::interrupted, "engine_refused");
        }
        if (opened.has_value()) {
            const std::shared_ptr<net::engine_stream> stream = std::move(opened.value());
            const auto result = co_await read_events(active, stream);
            if (result == read_result::done) {
                co_return attempt_end{};
            }
            if (result == read_result::cancelled) {
                co_return ended(attempt_end_kind::caller_gone, "cancelled");
            }
            if (result == read_result::rejected) {
                co_return ended(attempt_end_kind::interrupted, "engine_error");
            }
        }
        // A broken stream can be caused by an engine restart, which a poll of its state detects.
        services_.context.counters.increment("stream_reconnects_total");
        const bool reachable = co_await refresh();
        if (active->crashed) {
            co_return ended(attempt_end_kind::crashed, "engine_restarted");
        }
        if (!reachable) {
            break;
        }
    }
    co_return ended(attempt_end_kind::interrupted, "engine_silent");
}

net::awaitable<owned_endpoint::read_result>
owned_endpoint::read_events(active_ptr active, std::shared_ptr<net::engine_stream> stream) {
    const auto timeout = services_.context.settings.progress_timeout;
    {
        const std::lock_guard lock(mutex_);
        active->stream = stream;
    }
    for (;;) {
        auto event = co_await stream->next(timeout);
        if (active->cancelled) {
            co_return read_result::cancelled;
        }
        if (!event.has_value() || !event.value()) {
            co_return read_result::broken;
        }
        const auto& received = *event.value();
        if (received.data == "[DONE]") {
            co_return read_result::done;
        }
        if (received.event == "error") {
            co_return read_result::rejected;
        }
        const auto position = std::strtoull(received.id.c_str(), nullptr, 10);
        if (position == active->request.resume_from) {
            const std::lock_guard lock(mutex_);
            scheduler_.on_first_token(active->request.id, node_context::now());
        }
        active->next_position = position + 1;
        active->sink(token_event{position, received.data});
    }
}

void owned_endpoint::finish(const active_ptr& active, const attempt_end& end) {
    const std::size_t tokens = active->next_position - active->request.resume_from;
    auto outcome = policy::finish_kind::failed;
    if (end.kind == attempt_end_kind::completed) {
        outcome = policy::finish_kind::done;
        services_.crashes.on_finished(active->request.fingerprint);
    } else if (end.kind == attempt_end_kind::caller_gone) {
        outcome = policy::finish_kind::cancelled;
    } else if (end.kind == attempt_end_kind::interrupted) {
        // The engine may still be running the request although the connection delivers no events.
        cancel_at_engine(active->request.id);
    }
    {
        const std::lock_guard lock(mutex_);
        scheduler_.on_finished(active->request.id, outcome, tokens, node_context::now());
        attempts_.erase(active->request.id);
    }
    if (!active->cancelled) {
        active->sink(end);
    }
    pump();
}

} // namespace dragonflystair::node
