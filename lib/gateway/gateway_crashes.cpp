#include "dragonflystair/support/hash.h"
#include "dragonflystair/support/log.h"

#include "crash_frames.h"
#include "gateway_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Nodes may test a blocked trait one after another in intervals of this length, so that one of
/// them does and the others have heard of it.
constexpr milliseconds test_interval{250};

std::string text_of(const fleet::trait& what) {
    return fmt::format("{:x}", what.id);
}

std::string_view event_of(const fleet::block_change& change) {
    const bool part = change.block.what.kind == fleet::trait_kind::prompt_part;
    if (change.blocked) {
        return part ? "prompt_part_blocked" : "request_blocked";
    }
    return part ? "prompt_part_unblocked" : "request_unblocked";
}

} // namespace

/// Returns how long this node waits before it tests a blocked trait, by its rank among all nodes.
support::duration gateway::impl::test_delay(const fleet::trait& what) const {
    const auto key = text_of(what);
    const auto own = support::rendezvous_weight(key, view_.settings.name);
    const auto rank = std::ranges::count_if(registered_nodes_, [&](const auto& node) {
        return support::rendezvous_weight(key, node.first) > own;
    });
    return test_interval * rank;
}

/// Draws conclusions from the crashes and served requests of this node and its peers, and tells the
/// peers what is new.
void gateway::impl::update_crashes() {
    const auto now = boot_clock::now();
    fleet::crash_notice notice;
    for (auto& crash : view_.crashes.take_crashes(now)) {
        counters_.increment("endpoint_crashes_total");
        support::log_change("endpoint_crash",
                            {{"endpoint", crash.endpoint},
                             {"started_ms", std::to_string(crash.started_ms)},
                             {"age_ms", std::to_string(crash.age.count())},
                             {"requests", std::to_string(crash.requests.size())}});
        notice.crashes.push_back(view_.suspects.on_crash(std::move(crash), now));
    }
    for (const auto& request : view_.crashes.take_served()) {
        view_.suspects.on_served(request, now);
    }
    view_.suspects.update(now);
    apply_block_changes();
    auto conclusions = view_.suspects.take_notice();
    notice.survived = std::move(conclusions.survived);
    for (const auto& suspected : conclusions.suspected) {
        support::log_change("prompt_part_suspected",
                            {{"part", text_of(suspected.what)},
                             {"first_crash_ms", std::to_string(suspected.age.count())}});
    }
    if (notice.has_evidence()) {
        publish_evidence(crash_evidence_frame(notice));
    }
    if (conclusions.has_conclusions()) {
        publish_frame(crash_conclusions_frame(conclusions));
    }
}

/// Sends evidence to the nodes that draw conclusions: the leads and, in data centres whose nodes
/// place their own calls, all nodes. Where leads place calls, a node with many peers thus sends one
/// frame for each crash.
void gateway::impl::publish_evidence(const support::json& frame) {
    const auto lead = lead_of(view_.settings.data_centre);
    if (!leads_place_calls() || lead.empty()) {
        publish_frame(frame);
    } else if (lead == view_.incarnation) {
        send_to_leads(frame);
    } else {
        network_.send(lead, frame);
    }
}

void gateway::impl::on_crash_evidence(std::string_view peer, const support::json& frame) {
    view_.suspects.on_notice(decode_crash_notice(frame), boot_clock::now());
    apply_block_changes();
    const auto sender = peers_.find(peer);
    if (sender == peers_.end()) {
        return;
    }
    if (!leads_place_calls()) {
        forward_frame(peer, frame);
    } else if (in_own_data_centre(sender->second) && leads_own_data_centre()) {
        send_to_leads(frame);
    }
}

void gateway::impl::on_crash_conclusions(std::string_view peer, const support::json& frame) {
    const bool is_new = view_.suspects.on_notice(decode_crash_notice(frame), boot_clock::now());
    apply_block_changes();
    if (is_new) {
        forward_frame(peer, frame);
    }
}

/// Sends a new peer what is blocked.
void gateway::impl::send_blocks(std::string_view peer) {
    fleet::crash_notice notice;
    notice.blocks = view_.suspects.blocks(boot_clock::now());
    if (notice.has_conclusions()) {
        network_.send(peer, crash_conclusions_frame(notice));
    }
}

/// Logs blocks that began or ended, and refuses the calls that wait although they are blocked now.
void gateway::impl::apply_block_changes() {
    const auto changes = view_.suspects.take_changes();
    for (const auto& change : changes) {
        const bool part = change.block.what.kind == fleet::trait_kind::prompt_part;
        counters_.increment(change.blocked ? "crash_blocks_total" : "crash_unblocks_total",
                            change.source);
        support::log_change(event_of(change),
                            {{part ? "part" : "fingerprint", text_of(change.block.what)},
                             {"source", std::string(change.source)},
                             {"for_ms", std::to_string(change.block.remaining.count())},
                             {"failed_tests", std::to_string(change.block.level)}});
    }
    if (!changes.empty()) {
        relay_.on_blocks_changed();
    }
}

} // namespace dragonflystair::gateway
