#include "dragonflystair/fleet/record_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflystair::fleet {

std::vector<keyed_record> record_mirror::apply(const keyed_page& page) {
    std::vector<keyed_record> changed;
    for (const auto& record : page.records) {
        const auto known = newest_.find(record.key);
        if (known != newest_.end() && known->second.offset >= record.offset) {
            continue;
        }
        newest_.insert_or_assign(record.key, record);
        changed.push_back(record);
    }
    if (page.from <= next_) {
        next_ = std::max(next_, page.next);
    }
    return changed;
}

std::vector<keyed_record> record_mirror::resynchronise(const keyed_page& newest) {
    const bool lagging = newest.next < next_;
    auto changed = apply(newest);
    if (lagging) {
        return changed;
    }
    std::set<std::string_view> listed;
    for (const auto& record : newest.records) {
        listed.insert(record.key);
    }
    for (auto& [key, record] : newest_) {
        if (record.value && !listed.contains(key)) {
            record.value.reset();
            record.offset = newest.next;
            changed.push_back(record);
        }
    }
    return changed;
}

keyed_page record_mirror::since(std::uint64_t from) const {
    keyed_page page;
    page.from = from;
    page.next = next_;
    for (const auto& [key, record] : newest_) {
        if (record.offset >= from) {
            page.records.push_back(record);
        }
    }
    std::ranges::sort(page.records, {}, &keyed_record::offset);
    return page;
}

} // namespace dragonflystair::fleet
