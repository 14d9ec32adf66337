#include "dragonflystair/fleet/record_mirror.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// Returns whether a record is newer than the known one of the same key and era.
bool is_newer(const keyed_record& record, const keyed_record& known) {
    return record.offset > known.offset ||
           (record.offset == known.offset && known.inferred && !record.inferred);
}

} // namespace

std::vector<keyed_record> record_mirror::apply(const keyed_page& page) {
    std::vector<keyed_record> changed;
    if (page.era < era_) {
        return changed;
    }
    if (page.era > era_) {
        begin_era(page.era);
    }
    for (const auto& record : page.records) {
        if (apply_record(record)) {
            changed.push_back(record);
        }
    }
    if (page.from == 0 && !complete_) {
        infer_deletions(page, changed);
    }
    if (page.from <= next_) {
        next_ = std::max(next_, page.next);
    }
    return changed;
}

/// Starts a copy of the log of a new era. Values are kept until a full list of that era tells which
/// of them are missing.
void record_mirror::begin_era(std::uint64_t era) {
    era_ = era;
    next_ = 0;
    complete_ = newest_.empty();
    for (auto& [key, record] : newest_) {
        record.offset = 0;
        record.inferred = true;
    }
}

std::optional<std::uint64_t> record_mirror::version_of(const keyed_record& record) const {
    return version_of_ && record.value ? version_of_(record) : std::nullopt;
}

void record_mirror::store(const keyed_record& record) {
    newest_.insert_or_assign(record.key, record);
    if (const auto version = version_of(record)) {
        versions_.insert_or_assign(record.key, *version);
    }
}

std::uint64_t record_mirror::version_sum() const {
    return std::accumulate(versions_.begin(), versions_.end(), std::uint64_t{0},
                           [](auto sum, const auto& entry) { return sum + entry.second; });
}

/// Returns whether the record has changed the value of its key. Where one of the values was not
/// read at its offset, the versions of the values decide, if they have any.
bool record_mirror::apply_record(const keyed_record& record) {
    const auto found = newest_.find(record.key);
    if (found == newest_.end()) {
        store(record);
        return true;
    }
    auto& known = found->second;
    if (record.inferred || known.inferred) {
        const auto version = version_of(record);
        const auto known_version = version_of(known);
        if (known_version && version != known_version) {
            const auto offset = std::max(record.offset, known.offset);
            const bool newer = version.value_or(0) > *known_version;
            if (newer) {
                store(record);
            }
            known.offset = offset;
            return newer;
        }
    }
    if (!is_newer(record, known)) {
        return false;
    }
    store(record);
    return true;
}

std::vector<keyed_record> record_mirror::resynchronise(const keyed_page& newest) {
    const bool lagging = log_position{newest.era, newest.next} < position();
    auto changed = apply(newest);
    if (!lagging) {
        infer_deletions(newest, changed);
    }
    return changed;
}

/// Deletes the keys that a full list does not have.
void record_mirror::infer_deletions(const keyed_page& list, std::vector<keyed_record>& changed) {
    complete_ = true;
    std::set<std::string_view> listed;
    for (const auto& record : list.records) {
        listed.insert(record.key);
    }
    for (auto& [key, record] : newest_) {
        const bool after_list = !record.inferred && record.offset >= list.next;
        if (!record.value || listed.contains(key) || after_list || version_of(record)) {
            continue;
        }
        record.value.reset();
        record.offset = list.next;
        record.inferred = true;
        changed.push_back(record);
    }
}

keyed_page record_mirror::since(log_position end) const {
    const auto from = end.era == era_ ? end.offset : 0;
    keyed_page page;
    page.from = from;
    page.next = next_;
    page.era = era_;
    for (const auto& [key, record] : newest_) {
        if (record.offset >= from) {
            page.records.push_back(record);
        }
    }
    std::ranges::sort(page.records, {}, &keyed_record::offset);
    return page;
}

std::optional<std::string> record_mirror::value_of(std::string_view key) const {
    const auto found = newest_.find(key);
    return found == newest_.end() ? std::nullopt : found->second.value;
}

} // namespace dragonflystair::fleet
