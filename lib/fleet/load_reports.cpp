#include "dragonflystair/fleet/load_reports.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

void add(endpoint_loads& sum, const endpoint_loads& loads) {
    for (const auto& [endpoint, load] : loads) {
        auto& entry = sum[endpoint];
        entry.calls += load.calls;
        entry.pending_prefill_tokens += load.pending_prefill_tokens;
        entry.held_tokens += load.held_tokens;
    }
}

/// Subtracts loads from a sum that includes them, so that each endpoint has an entry.
void subtract(endpoint_loads& sum, const endpoint_loads& loads) {
    for (const auto& [endpoint, load] : loads) {
        const auto entry = sum.find(endpoint);
        entry->second.calls -= load.calls;
        entry->second.pending_prefill_tokens -= load.pending_prefill_tokens;
        entry->second.held_tokens -= load.held_tokens;
        if (entry->second == endpoint_load{}) {
            sum.erase(entry);
        }
    }
}

} // namespace

void load_reports::on_report(std::string_view peer, load_report report) {
    if (report.sum) {
        received_.erase(std::string(peer));
    } else {
        received_.insert_or_assign(std::string(peer), std::move(report.loads));
    }
}

void load_reports::remove_peer(std::string_view peer) {
    received_.erase(std::string(peer));
    sent_.erase(std::string(peer));
}

std::vector<load_reports::due_report> load_reports::take_due(const endpoint_loads& own,
                                                             const audience& audience) {
    endpoint_loads total = own;
    if (audience.leads) {
        for (const auto& [peer, loads] : received_) {
            add(total, loads);
        }
    }
    std::vector<due_report> due;
    for (const auto& peer : audience.peers) {
        if (!audience.leads) {
            const bool is_receiver = audience.lead.empty() || audience.lead == peer;
            add_if_changed(peer, {is_receiver ? own : endpoint_loads{}, false}, due);
            continue;
        }
        auto others = total;
        if (const auto received = received_.find(peer); received != received_.end()) {
            subtract(others, received->second);
        }
        add_if_changed(peer, {std::move(others), true}, due);
    }
    return due;
}

/// Groups receivers of equal reports, so that each report is encoded once.
void load_reports::add_if_changed(const std::string& peer, const load_report& report,
                                  std::vector<due_report>& due) {
    auto& sent = sent_[peer];
    if (sent == report || (sent.loads.empty() && report.loads.empty())) {
        return;
    }
    sent = report;
    const auto same =
        std::ranges::find_if(due, [&](const auto& other) { return other.report == report; });
    if (same != due.end()) {
        same->receivers.push_back(peer);
        return;
    }
    due.push_back({{peer}, report});
}

} // namespace dragonflystair::fleet
