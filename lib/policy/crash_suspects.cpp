#include "dragonflystair/policy/crash_suspects.h"

namespace dragonflystair::policy {

void crash_suspects::on_crash(std::span<const std::uint64_t> without_token,
                              std::span<const std::uint64_t> with_tokens, support::time_point now) {
    const bool alone = without_token.size() + with_tokens.size() == 1;
    // Alone and in flight at an earlier crash means that nothing else can have caused both.
    const auto caused = [&](std::uint64_t fingerprint) {
        return alone && state(fingerprint, now) != suspicion::clear;
    };
    for (const auto fingerprint : without_token) {
        if (caused(fingerprint)) {
            mark_quarantined(fingerprint, now);
            continue;
        }
        mark_suspect(fingerprint, now);
    }
    for (const auto fingerprint : with_tokens) {
        if (caused(fingerprint)) {
            mark_quarantined(fingerprint, now);
            continue;
        }
        on_crash_after_tokens(fingerprint, now);
    }
}

void crash_suspects::on_crash_after_tokens(std::uint64_t fingerprint, support::time_point now) {
    if (state(fingerprint, now) == suspicion::clear) {
        records_[fingerprint] = {suspicion::watched, now};
        return;
    }
    mark_suspect(fingerprint, now);
}

void crash_suspects::on_finished(std::uint64_t fingerprint) {
    const auto place = records_.find(fingerprint);
    if (place != records_.end() && place->second.state != suspicion::quarantined) {
        records_.erase(place);
    }
}

void crash_suspects::mark_suspect(std::uint64_t fingerprint, support::time_point now) {
    const auto known = state(fingerprint, now);
    if (known == suspicion::clear || known == suspicion::watched) {
        records_[fingerprint] = {suspicion::suspect, now};
    }
}

void crash_suspects::mark_quarantined(std::uint64_t fingerprint, support::time_point now) {
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
