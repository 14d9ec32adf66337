#include "dragonflystair/fleet/load_reports.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

void add(endpoint_loads& sum, const endpoint_loads& loads) {
    for (const auto& [endpoint, load] : loads) {
        auto& item = sum[endpoint];
        item.calls += load.calls;
        item.pending_prefill_tokens += load.pending_prefill_tokens;
    }
}

/// Takes away loads that were added before.
void subtract(endpoint_loads& sum, const endpoint_loads& loads) {
    for (const auto& [endpoint, load] : loads) {
        const auto item = sum.find(endpoint);
        item->second.calls -= load.calls;
        item->second.pending_prefill_tokens -= load.pending_prefill_tokens;
        if (item->second == endpoint_load{}) {
            sum.erase(item);
        }
    }
}

} // namespace

void load_reports::on_report(std::string_view peer, load_report report) {
    if (report.sum) {
        heard_.erase(std::string(peer));
    } else {
        heard_.insert_or_assign(std::string(peer), std::move(report.loads));
    }
}

void load_reports::remove_peer(std::string_view peer) {
    heard_.erase(std::string(peer));
    told_.erase(std::string(peer));
}

std::vector<load_reports::due_report> load_reports::take_due(const endpoint_loads& own,
                                                             const audience& audience) {
    endpoint_loads total = own;
    if (audience.leads) {
        for (const auto& [peer, loads] : heard_) {
            add(total, loads);
        }
    }
    std::vector<due_report> due;
    for (const auto& peer : audience.peers) {
        if (!audience.leads) {
            const bool told = audience.lead.empty() || audience.lead == peer;
            add_if_changed(peer, {told ? own : endpoint_loads{}, false}, due);
            continue;
        }
        auto others = total;
        if (const auto heard = heard_.find(peer); heard != heard_.end()) {
            subtract(others, heard->second);
        }
        add_if_changed(peer, {std::move(others), true}, due);
    }
    return due;
}

/// Receivers of equal reports share one, so that it is encoded once.
void load_reports::add_if_changed(const std::string& peer, const load_report& report,
                                  std::vector<due_report>& out) {
    auto& told = told_[peer];
    if (told == report || (told.loads.empty() && report.loads.empty())) {
        return;
    }
    told = report;
    const auto same =
        std::ranges::find_if(out, [&](const auto& item) { return item.report == report; });
    if (same != out.end()) {
        same->receivers.push_back(peer);
        return;
    }
    out.push_back({{peer}, report});
}

} // namespace dragonflystair::fleet
