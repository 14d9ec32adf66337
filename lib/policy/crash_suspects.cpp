#include "dragonflystair/policy/crash_suspects.h"

namespace dragonflystair::policy {

void crash_suspects::on_crash(std::span<const std::uint64_t> without_token,
                              std::span<const std::uint64_t> with_tokens, support::time_point now) {
    const bool single_request = without_token.size() + with_tokens.size() == 1;
    // If only one request was in flight at this crash, and it was also in flight at an earlier one,
    // no other request can have caused both crashes.
    const auto is_cause = [&](std::uint64_t fingerprint) {
        return single_request && state(fingerprint, now) != suspicion::clear;
    };
    for (const auto fingerprint : without_token) {
        if (is_cause(fingerprint)) {
            mark_quarantined(fingerprint, now);
            continue;
        }
        mark_suspect(fingerprint, now);
    }
    for (const auto fingerprint : with_tokens) {
        if (is_cause(fingerprint)) {
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
    const auto it = records_.find(fingerprint);
    if (it != records_.end() && it->second.state != suspicion::quarantined) {
        records_.erase(it);
    }
}

void crash_suspects::mark_suspect(std::uint64_t fingerprint, support::time_point now) {
    const auto current = state(fingerprint, now);
    if (current == suspicion::clear || current == suspicion::watched) {
        records_[fingerprint] = {suspicion::suspect, now};
    }
}

void crash_suspects::mark_quarantined(std::uint64_t fingerprint, support::time_point now) {
    if (state(fingerprint, now) != suspicion::quarantined) {
        records_[fingerprint] = {suspicion::quarantined, now};
    }
}

suspicion crash_suspects::state(std::uint64_t fingerprint, support::time_point now) const {
    const auto it = records_.find(fingerprint);
    if (it == records_.end()) {
        return suspicion::clear;
    }
    const auto& entry = it->second;
    const auto duration =
        entry.state == suspicion::quarantined ? quarantine_duration : suspicion_duration;
    return now - entry.since < duration ? entry.state : suspicion::clear;
}

std::vector<std::uint64_t> crash_suspects::quarantined(support::time_point now) const {
    std::vector<std::uint64_t> found;
    for (const auto& [fingerprint, entry] : records_) {
        if (state(fingerprint, now) == suspicion::quarantined) {
            found.push_back(fingerprint);
        }
    }
    return found;
}

} // namespace dragonflystair::policy
