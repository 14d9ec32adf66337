#include "dragonflystair/fleet/configuration_freshness.h"

#include <algorithm>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Share of the timeout that is used; the rest covers clocks that run at slightly different rates.
constexpr double usable_share = 0.98;

} // namespace

void configuration_freshness::confirm(time_point at) {
    if (doubted_until_ && at < *doubted_until_) {
        return;
    }
    confirmed_ = confirmed_ ? std::max(*confirmed_, at) : at;
}

void configuration_freshness::on_store_read(time_point asked) {
    confirm(asked);
}

void configuration_freshness::on_peer_report(const freshness_report& report, std::uint64_t version,
                                             time_point asked) {
    if (version >= report.version && report.age >= milliseconds{0}) {
        confirm(asked - report.age);
    }
}

void configuration_freshness::on_store_restored(time_point now) {
    doubted_until_ = now + restoration_doubt;
}

std::optional<freshness_report> configuration_freshness::report(std::uint64_t version,
                                                                time_point now) const {
    if (!confirmed_) {
        return std::nullopt;
    }
    return freshness_report{version, std::chrono::ceil<milliseconds>(now - *confirmed_)};
}

bool configuration_freshness::reliable(time_point arrived) const {
    if (!timeout_) {
        return true;
    }
    const auto usable = std::chrono::duration_cast<support::duration>(*timeout_ * usable_share);
    return confirmed_ && arrived - *confirmed_ <= usable;
}

} // namespace dragonflystair::fleet
