#include "peer_protocol.h"

#include "dragonflystair/support/log.h"

#include <utility>

namespace dragonflystair::node {

namespace {

std::int64_t to_ms(support::time_point time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::string_view name_of(attempt_end_kind kind) {
    switch (kind) {
    case attempt_end_kind::completed:
        return "completed";
    case attempt_end_kind::refused:
        return "refused";
    case attempt_end_kind::interrupted:
        return "interrupted";
    case attempt_end_kind::crashed:
        return "crashed";
    case attempt_end_kind::rejected:
        return "rejected";
    case attempt_end_kind::caller_gone:
        return "caller_gone";
    }
    return "interrupted";
}

attempt_end_kind kind_of(std::string_view name) {
    for (const auto kind :
         {attempt_end_kind::completed, attempt_end_kind::refused, attempt_end_kind::crashed,
          attempt_end_kind::rejected, attempt_end_kind::caller_gone}) {
        if (name_of(kind) == name) {
            return kind;
        }
    }
    return attempt_end_kind::interrupted;
}

support::json frame_of(const std::string& id, const call_event& event) {
    if (const auto* token = std::get_if<token_event>(&event)) {
        return {
            {"type", "event"}, {"id", id}, {"position", token->position}, {"data", token->data}};
    }
    const auto& end = std::get<attempt_end>(event);
    return {{"type", "end_call"},
            {"id", id},
            {"kind", name_of(end.kind)},
            {"reason", end.reason},
            {"retry_after_ms", end.retry_after.count()}};
}

} // namespace

peer_protocol::peer_protocol(peer_services services) : services_(std::move(services)) {}

void peer_protocol::on_up(std::string_view peer) {
    support::log_change("peer_up", {{"peer", std::string(peer)}});
    services_.send(peer, heartbeat(peer));
}

void peer_protocol::on_down(std::string_view peer) {
    support::log_change("peer_down", {{"peer", std::string(peer)}});
    services_.peers.on_down(peer);
    services_.remote_attempts.on_peer_down(peer);
    std::vector<std::string> opened;
    {
        const std::lock_guard lock(mutex_);
        const auto [begin, end] = attempt_ids_by_peer_.equal_range(peer);
        for (auto at = begin; at != end; ++at) {
            opened.push_back(at->second);
        }
        attempt_ids_by_peer_.erase(begin, end);
    }
    for (const auto& id : opened) {
        services_.owners.cancel(id);
    }
}

void peer_protocol::on_frame(std::string_view peer, const support::json& frame) {
    try {
        dispatch(peer, frame);
    } catch (const support::json::exception& fault) {
        services_.context.counters.increment("peer_refusals_total", "malformed_frame");
    }
}

void peer_protocol::dispatch(std::string_view peer, const support::json& frame) {
    const auto type = frame.value("type", "");
    if (type == "heartbeat") {
        on_heartbeat(peer, frame);
    } else if (type == "open_call") {
        on_open_call(peer, frame);
    } else if (type == "event") {
        on_event(frame);
    } else if (type == "end_call") {
        on_end_call(frame);
    } else if (type == "cancel_call") {
        services_.owners.cancel(frame.at("id").get<std::string>());
    } else if (type == "suspects") {
        on_suspects(frame);
    } else if (type == "records_request") {
        on_records_request(peer, frame);
    } else if (type == "records") {
        services_.restore_fold(frame.at("stream").get<std::string>(), frame.at("state"));
    } else if (type.starts_with("key_")) {
        services_.inquiry.on_frame(peer, frame);
    } else if (type.starts_with("permit")) {
        services_.permits.on_frame(peer, frame);
    } else {
        services_.context.counters.increment("peer_refusals_total", "unknown_frame");
    }
}

support::json peer_protocol::heartbeat(std::string_view peer) const {
    const auto last_heartbeat = services_.peers.find(peer);
    const auto& settings = services_.context.settings;
    support::json endpoints = support::json::array();
    for (const auto& endpoint : services_.owners.all()) {
        if (!endpoint->ready()) {
            continue;
        }
        const auto load = endpoint->load();
        endpoints.push_back({{"id", endpoint->setup().id},
                             {"resident", load.resident},
                             {"running", load.running},
                             {"queued", load.queued},
                             {"batch_limit", load.batch_limit},
                             {"expected_wait_ms", load.expected_wait.count()}});
    }
    return {{"type", "heartbeat"},
            {"node", settings.name},
            {"data_centre", settings.data_centre},
            {"revision", services_.config.view()->revision},
            {"accepts_callers", services_.accepts_callers()},
            {"stamp_ms", to_ms(node_context::now())},
            {"echo_ms", last_heartbeat ? last_heartbeat->stamp_ms : 0},
            {"promises_no_takeover", services_.promises_no_takeover()},
            {"endpoints", std::move(endpoints)},
            {"leaving", services_.directory.leaving()},
            {"quarantined", services_.crashes.quarantined(node_context::now())}};
}

void peer_protocol::send_heartbeat() {
    for (const auto& peer : services_.connected()) {
        services_.send(peer, heartbeat(peer));
    }
}

void peer_protocol::on_heartbeat(std::string_view peer, const support::json& frame) {
    const auto now = node_context::now();
    peer_status status;
    status.incarnation = std::string(peer);
    status.node = frame.value("node", "");
    status.data_centre = frame.value("data_centre", "");
    status.revision = frame.value("revision", ledger::position{0});
    status.accepts_callers = frame.value("accepts_callers", false);
    status.stamp_ms = frame.value("stamp_ms", std::int64_t{0});
    status.received_at = now;
    services_.on_promise(
        peer, frame.value("promises_no_takeover", false),
        support::time_point{std::chrono::milliseconds{frame.value("echo_ms", std::int64_t{0})}});
    services_.peers.on_heartbeat(std::move(status));
    for (const auto& endpoint : frame.at("endpoints")) {
        policy::endpoint_load load;
        load.resident = endpoint.at("resident").get<std::vector<std::string>>();
        load.running = endpoint.value("running", std::size_t{0});
        load.queued = endpoint.value("queued", std::size_t{0});
        load.batch_limit = endpoint.value("batch_limit", std::size_t{0});
        load.expected_wait =
            std::chrono::milliseconds(endpoint.value("expected_wait_ms", std::int64_t{0}));
        services_.directory.on_report(endpoint.at("id").get<std::string>(), std::string(peer),
                                      std::move(load), now);
    }
    for (const auto& id : frame.at("leaving")) {
        services_.directory.on_peer_reported_leaving(id.get<std::string>(), now);
    }
    for (const auto& fingerprint : frame.at("quarantined")) {
        services_.crashes.mark_quarantined(fingerprint.get<std::uint64_t>(), now);
    }
}

void peer_protocol::on_open_call(std::string_view peer, const support::json& frame) {
    const auto id = frame.at("id").get<std::string>();
    const std::string from(peer);
    const call_sink sink = [this, id, from](const call_event& event) {
        services_.send(from, frame_of(id, event));
        if (!std::holds_alternative<attempt_end>(event)) {
            return;
        }
        const std::lock_guard lock(mutex_);
        const auto [begin, end] = attempt_ids_by_peer_.equal_range(from);
        for (auto at = begin; at != end; ++at) {
            if (at->second == id) {
                attempt_ids_by_peer_.erase(at);
                return;
            }
        }
    };
    auto request = boost::leaf::try_handle_all(
        [&]() -> support::result<std::optional<attempt>> {
            BOOST_LEAF_AUTO(parsed, attempt_from_json(frame, node_context::now()));
            return std::optional<attempt>(std::move(parsed));
        },
        []() -> std::optional<attempt> { return std::nullopt; });
    if (!request) {
        sink(attempt_end{attempt_end_kind::refused, "malformed_frame", {}});
        return;
    }
    const auto owned = services_.owners.find(request->endpoint);
    if (!owned) {
        sink(attempt_end{attempt_end_kind::refused, "not_owner", std::chrono::milliseconds{500}});
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        attempt_ids_by_peer_.emplace(from, id);
    }
    services_.context.counters.increment("forwarded_calls_total");
    owned->submit(std::move(*request), sink);
}

void peer_protocol::on_event(const support::json& frame) {
    const auto id = frame.at("id").get<std::string>();
    token_event event{frame.at("position").get<std::uint64_t>(),
                      frame.at("data").get<std::string>()};
    if (!services_.remote_attempts.deliver(id, std::move(event))) {
        services_.context.counters.increment("late_events_total");
    }
}

void peer_protocol::on_end_call(const support::json& frame) {
    attempt_end end;
    end.kind = kind_of(frame.value("kind", ""));
    end.reason = frame.value("reason", "");
    end.retry_after = std::chrono::milliseconds(frame.value("retry_after_ms", std::int64_t{0}));
    if (!services_.remote_attempts.deliver(frame.at("id").get<std::string>(), std::move(end))) {
        services_.context.counters.increment("late_events_total");
    }
}

void peer_protocol::send_suspects(std::span<const std::uint64_t> fingerprints) {
    services_.broadcast({{"type", "suspects"},
                         {"fingerprints", std::vector(fingerprints.begin(), fingerprints.end())}});
}

void peer_protocol::on_suspects(const support::json& frame) {
    for (const auto& fingerprint : frame.at("fingerprints")) {
        services_.crashes.mark_suspect(fingerprint.get<std::uint64_t>(), node_context::now());
    }
}

void peer_protocol::request_records(const std::string& stream, std::uint64_t next_offset) {
    const auto peers = services_.connected();
    if (peers.empty()) {
        return;
    }
    const auto& peer = peers[next_peer_index_++ % peers.size()];
    services_.send(peer, {{"type", "records_request"}, {"stream", stream}, {"next", next_offset}});
}

void peer_protocol::on_records_request(std::string_view peer, const support::json& frame) {
    const auto stream = frame.at("stream").get<std::string>();
    auto state = services_.fold_state(stream);
    const auto own_next_offset = state.value("next_offset", std::uint64_t{0});
    if (own_next_offset <= frame.at("next").get<std::uint64_t>()) {
        return;
    }
    services_.send(peer, {{"type", "records"}, {"stream", stream}, {"state", std::move(state)}});
}

} // namespace dragonflystair::node
