#include "dragonflystair/support/log.h"

#include "gateway_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

/// Applies the notice of a response about its endpoint and sends it to the nodes that may send
/// calls there: those of this data centre and the leads of others, which forward it.
void gateway::impl::on_notice(std::string_view endpoint, std::uint64_t started_ms,
                              platform::endpoint_notice notice, support::time_point sent) {
    const auto now = boot_clock::now();
    if (const auto* record = view_.dispatcher.find(endpoint);
        record != nullptr && record->started_ms != started_ms) {
        // Another run was listed since the request was sent, and either may have responded.
        counters_.increment("endpoint_notices_of_unclear_run_total");
        started_ms = record->started_ms;
        if (notice.retry_after) {
            notice.retry_after =
                std::min<milliseconds>(*notice.retry_after, fleet::endpoint_watch::late_write_time);
        }
    }
    if (notice.malformed) {
        counters_.increment("endpoint_notices_damaged_total");
        support::log_request("endpoint_notice_damaged", {{"endpoint", std::string(endpoint)}});
    }
    // A damaged value tells nothing: the limit that was named before stays in force.
    if (!notice.limit_malformed) {
        const fleet::limit_observation observed{started_ms, notice.limit, sent, now};
        if (on_limit(endpoint, observed, "answer")) {
            publish_frame(limit_frame({std::string(endpoint), observed}, now));
        }
    }
    if (notice.leaving && mark_leaving(endpoint, started_ms, "answer")) {
        publish_frame(forwarded_notice_frame({std::string(endpoint), started_ms, true, {}}));
    }
    if (!notice.retry_after) {
        return;
    }
    if (const auto until =
            view_.backoff.on_refused(endpoint, started_ms, *notice.retry_after, sent, now)) {
        apply_pause(endpoint, *until, "answer");
        const auto remaining = std::chrono::ceil<milliseconds>(*until - now);
        publish_frame(
            forwarded_notice_frame({std::string(endpoint), started_ms, false, remaining}));
    }
}

void gateway::impl::on_peer_notice(std::string_view peer, const support::json& frame) {
    const auto notice = decode_forwarded_notice(frame);
    const auto sender = peers_.find(peer);
    if (!notice || sender == peers_.end()) {
        counters_.increment("peer_frames_damaged_total", "endpoint_news");
        return;
    }
    if (notice->leaving && !mark_leaving(notice->endpoint, notice->started_ms, "peer")) {
        return;
    }
    const auto* record = view_.dispatcher.find(notice->endpoint);
    const bool same_run = record != nullptr && record->started_ms == notice->started_ms;
    const auto now = boot_clock::now();
    if (notice->pause.count() > 0 && same_run && view_.may_send(notice->endpoint, now)) {
        // The endpoint may have intended the pause for that peer only.
        const auto remaining =
            std::min<milliseconds>(notice->pause, fleet::endpoint_backoff::max_relayed_pause);
        if (view_.dispatcher.paused_until(notice->endpoint) < now + remaining / 2) {
            apply_pause(notice->endpoint, now + remaining, "peer");
        }
    }
    forward_frame(peer, frame);
}

/// Marks an endpoint as leaving. Returns false if that was already known or the notice is of an
/// earlier run of the endpoint.
bool gateway::impl::mark_leaving(std::string_view endpoint, std::uint64_t started_ms,
                                 std::string_view source) {
    if (!watch_.on_draining_reported(endpoint, started_ms, boot_clock::now())) {
        return false;
    }
    const auto* record = view_.dispatcher.find(endpoint);
    if (record != nullptr && record->started_ms == started_ms) {
        apply_leaving(*record, source);
    }
    return true;
}

/// Stops using an endpoint whose run in force leaves.
void gateway::impl::apply_leaving(const fleet::endpoint_record& record, std::string_view source) {
    if (record.draining) {
        return;
    }
    const auto endpoint = record.id;
    counters_.increment("endpoints_leaving_total", source);
    support::log_change("endpoint", {{"endpoint", endpoint},
                                     {"address", record.address},
                                     {"started_ms", std::to_string(record.started_ms)},
                                     {"state", "leaving"},
                                     {"source", std::string(source)}});
    view_.endpoints.close_idle(record.address);
    view_.dispatcher.set_draining(endpoint);
    for (const auto& [name, holder] : holders_) {
        holder->planner().set_draining(endpoint);
    }
    pump();
}

void gateway::impl::apply_pause(std::string_view endpoint, support::time_point until,
                                std::string_view source) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(until - boot_clock::now());
    counters_.increment("endpoint_pauses_total", source);
    support::log_request("endpoint_paused", {{"endpoint", std::string(endpoint)},
                                             {"source", std::string(source)},
                                             {"for_ms", std::to_string(remaining.count())}});
    view_.dispatcher.pause(endpoint, until);
    for (const auto& [name, holder] : holders_) {
        holder->planner().pause(endpoint, until);
    }
    pump();
}

} // namespace dragonflystair::gateway
