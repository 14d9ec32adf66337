#include "dragonflystair/policy/crash_suspects.h"

namespace dragonflystair::policy {

void crash_suspects::on_crash(std::span<const std::uint64_t> in_flight, support::time_point now) {
    for (const auto fingerprint : in_flight) {
        const bool alone = in_flight.size() == 1;
        const bool again = state(fingerprint, now) != suspicion::clear;
        // Alone and suspected before means that nothing else can have caused the second crash.
        const auto next = alone && again ? suspicion::quarantined : suspicion::suspect;
        if (state(fingerprint, now) != suspicion::quarantined) {
            records_[fingerprint] = {next, now};
        }
    }
}

void crash_suspects::on_finished(std::uint64_t fingerprint) {
    const auto place = records_.find(fingerprint);
    if (place != records_.end() && place->second.state == suspicion::suspect) {
        records_.erase(place);
    }
}

void crash_suspects::on_suspicion(std::uint64_t fingerprint, support::time_point now) {
    if (state(fingerprint, now) == suspicion::clear) {
        records_[fingerprint] = {suspicion::suspect, now};
    }
}

void crash_suspects::on_peer_quarantine(std::uint64_t fingerprint, support::time_point now) {
    if (state(fingerprint, now) != suspicion::quarantined) {
        records_[fingerprint] = {suspicion::quarantined, now};
    }
}

suspicion crash_suspects::state(std::uint64_t fingerprint, support::time_point now) const {
    const auto place = records_.find(fingerprint);
    if (place == records_.end()) {
        return suspicion::clear;
    }
    const auto& known = place->second;
    const auto lasts = known.state == suspicion::quarantined ? quarantine_time : suspicion_time;
    return now - known.since < lasts ? known.state : suspicion::clear;
}

std::vector<std::uint64_t> crash_suspects::quarantined(support::time_point now) const {
    std::vector<std::uint64_t> found;
    for (const auto& [fingerprint, known] : records_) {
        if (state(fingerprint, now) == suspicion::quarantined) {
            found.push_back(fingerprint);
        }
    }
    return found;
}

} // namespace dragonflystair::policy
