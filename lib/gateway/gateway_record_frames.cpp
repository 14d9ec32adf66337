#include "gateway_impl.h"

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Minimum interval between requests to peers for missing records of the same topic.
constexpr milliseconds records_request_interval{400};

} // namespace

/// Requests the records that this node lacks from a peer that has them. Needed while the store does
/// not answer this node but answers the peer.
void gateway::impl::request_records(std::string_view peer, const node_status& status) {
    for (const auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        const auto end = status.topic_ends.find(follower->topic());
        if (end != status.topic_ends.end() && end->second > follower->mirror().position()) {
            request_records(peer, *follower);
        }
    }
    const auto& mirror = operator_records_.mirror();
    const auto end = status.topic_ends.find(operator_records_.topic());
    if (status.version_sum > mirror.version_sum() && end != status.topic_ends.end() &&
        end->second == mirror.position()) {
        request_all_records(peer, operator_records_);
    }
}

/// Requests all records of a peer that has a newer value in a copy that ends at the same position,
/// as when the store was restored without that value and only this node has started since.
void gateway::impl::request_all_records(std::string_view peer, const store_follower& follower) {
    const auto now = boot_clock::now();
    auto& last_request = records_requested_[follower.topic()];
    if (now - last_request < records_request_interval) {
        return;
    }
    last_request = now;
    network_.send(peer, records_request(follower.topic(), {}));
}

void gateway::impl::request_records(std::string_view peer, const store_follower& follower) {
    const auto now = boot_clock::now();
    auto& last_request = records_requested_[follower.topic()];
    if (follower.reads() || now - last_request < records_request_interval) {
        return;
    }
    last_request = now;
    network_.send(peer, records_request(follower.topic(), follower.mirror().position()));
}

/// Applies records from a peer and requests those between them and the local copy.
void gateway::impl::on_records(std::string_view peer, const support::json& frame) {
    const auto topic = frame.value("k", std::string());
    const auto page = decode_records(frame);
    if (!fleet::is_plausible_era(page.era, store_.era())) {
        counters_.increment("peer_frames_damaged_total", "era");
        return;
    }
    if (was_just_read(frame)) {
        readers_.on_forwarded(peer, boot_clock::now());
    }
    for (auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        if (follower->topic() != topic) {
            continue;
        }
        if (page.era > 0) {
            store_.note_era(page.era);
        }
        follower->apply(page);
        if (follower->mirror().position() < fleet::log_position{page.era, page.next}) {
            counters_.increment("record_gaps_total", topic);
            request_records(peer, *follower);
        }
    }
}

void gateway::impl::on_records_request(std::string_view peer, const support::json& frame) {
    const auto topic = frame.value("k", std::string());
    const auto end = decode_records_request(frame);
    for (auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        if (follower->topic() == topic && follower->mirror().complete() &&
            end.era <= follower->mirror().era()) {
            network_.send(peer, records_frame(topic, follower->mirror().since(end)));
        }
    }
}

/// Forwards records that this node has just read.
void gateway::impl::forward_records(const std::string& topic, const fleet::keyed_page& page) {
    auto frame = records_frame(topic, page);
    mark_as_read(frame);
    send_to_own_data_centre(frame);
}

} // namespace dragonflystair::gateway
