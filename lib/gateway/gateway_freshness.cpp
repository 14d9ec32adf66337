#include "gateway_impl.h"

#include <chrono>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Returns an unsigned member of a frame, or nullopt if it is missing or damaged.
std::optional<std::uint64_t> unsigned_member(const support::json& frame, const char* name) {
    const auto found = frame.find(name);
    if (found == frame.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

} // namespace

/// Asks the node that reads the store for this one how fresh its configuration is. Nothing is sent
/// unless calls have keys that can be revoked.
void gateway::impl::request_freshness() {
    if (!view_.settings.revocation_timeout || !view_.configuration ||
        !view_.configuration->has_tenants) {
        return;
    }
    const auto now = boot_clock::now();
    if (const auto reader = readers_.reader(now); !reader.empty()) {
        // The reader repeats this node's own time, so that a late answer confirms nothing newer.
        network_.send(reader, {{"type", "w"}, {"t", now.time_since_epoch().count()}});
    }
}

void gateway::impl::on_freshness_request(std::string_view peer, const support::json& frame) {
    const auto asked = unsigned_member(frame, "t");
    const auto version = view_.configuration ? view_.configuration->version : 0;
    const auto report = view_.freshness.report(version, boot_clock::now());
    if (asked && report) {
        network_.send(peer, {{"type", "x"},
                             {"t", *asked},
                             {"v", report->version},
                             {"a", static_cast<std::uint64_t>(report->age.count())}});
    }
}

void gateway::impl::on_freshness_answer(const support::json& frame) {
    constexpr std::uint64_t max_age_ms = 3'600'000;
    const auto asked = unsigned_member(frame, "t");
    const auto version = unsigned_member(frame, "v");
    const auto age = unsigned_member(frame, "a");
    if (!asked || !version || !age || *age > max_age_ms) {
        counters_.increment("peer_frames_damaged_total", "freshness");
        return;
    }
    const boot_clock::time_point sent{boot_clock::duration{static_cast<std::int64_t>(*asked)}};
    if (sent > boot_clock::now()) {
        counters_.increment("peer_frames_damaged_total", "freshness");
        return;
    }
    view_.freshness.on_peer_report({*version, milliseconds{*age}},
                                   view_.configuration ? view_.configuration->version : 0, sent);
}

} // namespace dragonflystair::gateway
