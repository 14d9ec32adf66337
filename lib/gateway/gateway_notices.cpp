#include "dragonflystair/support/log.h"

#include "gateway_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

/// Takes what an answer said about its endpoint, and tells it to the nodes that may send calls
/// there: the own data centre and the leads of others, which pass it on.
void gateway::impl::on_notice(std::string_view endpoint, std::uint64_t started_ms,
                              const platform::endpoint_notice& notice, support::time_point sent) {
    if (notice.malformed) {
        counters_.increment("endpoint_notices_damaged_total");
        support::log_request("endpoint_notice_damaged", {{"endpoint", std::string(endpoint)}});
    }
    if (notice.leaving && take_leaving(endpoint, started_ms, "answer")) {
        spread(endpoint_news_frame({std::string(endpoint), started_ms, true, {}}));
    }
    if (!notice.retry_after) {
        return;
    }
    const auto now = boot_clock::now();
    if (const auto until =
            view_.backoff.on_refused(endpoint, started_ms, *notice.retry_after, sent, now)) {
        take_pause(endpoint, *until, "answer");
        const auto left = std::chrono::ceil<milliseconds>(*until - now);
        spread(endpoint_news_frame({std::string(endpoint), started_ms, false, left}));
    }
}

void gateway::impl::on_peer_notice(std::string_view peer, const support::json& frame) {
    const auto news = decode_endpoint_news(frame);
    const auto sender = peers_.find(peer);
    if (!news || sender == peers_.end()) {
        counters_.increment("peer_frames_damaged_total", "endpoint_news");
        return;
    }
    if (news->leaving && !take_leaving(news->endpoint, news->started_ms, "peer")) {
        return;
    }
    const auto* record = view_.dispatcher.find(news->endpoint);
    const bool same_run = record != nullptr && record->started_ms == news->started_ms;
    const auto now = boot_clock::now();
    if (news->pause.count() > 0 && same_run && view_.may_send(news->endpoint, now)) {
        // The endpoint may have meant that peer only.
        const auto left =
            std::min<milliseconds>(news->pause, fleet::endpoint_backoff::longest_told_pause);
        if (view_.dispatcher.paused_until(news->endpoint) < now + left / 2) {
            take_pause(news->endpoint, now + left, "peer");
        }
    }
    pass_on(peer, frame);
}

/// Returns whether it was news that the endpoint leaves.
bool gateway::impl::take_leaving(std::string_view endpoint, std::uint64_t started_ms,
                                 std::string_view source) {
    if (!watch_.on_said_leaving(endpoint, started_ms)) {
        return false;
    }
    const auto* record = view_.dispatcher.find(endpoint);
    if (record == nullptr || record->started_ms != started_ms || record->draining) {
        return true;
    }
    counters_.increment("endpoints_leaving_total", source);
    support::log_change("endpoint", {{"endpoint", std::string(endpoint)},
                                     {"address", record->address},
                                     {"state", "leaving"},
                                     {"source", std::string(source)}});
    view_.endpoints.close_idle(record->address);
    view_.dispatcher.set_leaving(endpoint);
    for (const auto& [name, holder] : holders_) {
        holder->planner().set_leaving(endpoint);
    }
    pump();
    return true;
}

void gateway::impl::take_pause(std::string_view endpoint, support::time_point until,
                               std::string_view source) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - boot_clock::now());
    counters_.increment("endpoint_pauses_total", source);
    support::log_request("endpoint_paused", {{"endpoint", std::string(endpoint)},
                                             {"source", std::string(source)},
                                             {"for_ms", std::to_string(left.count())}});
    view_.dispatcher.pause(endpoint, until);
    for (const auto& [name, holder] : holders_) {
        holder->planner().pause(endpoint, until);
    }
    pump();
}

} // namespace dragonflystair::gateway
