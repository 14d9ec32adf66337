#include "dragonflystair/ledger/fold_base.h"

#include <algorithm>
#include <limits>

namespace dragonflystair::ledger {

namespace {

/// Maximum accepted offset, so that its positions and those of the next offset fit into 64 bits.
constexpr std::uint64_t max_offset =
    std::numeric_limits<std::uint64_t>::max() / max_records_per_append - 2;

std::optional<record> parse(const support::json& value) {
    return support::value_or_handle(
        [&]() -> support::result<std::optional<record>> {
            BOOST_LEAF_AUTO(parsed, record_from_json(value));
            return std::optional<record>{std::move(parsed)};
        },
        [](const support::error&) { return std::optional<record>{}; });
}

bool well_formed(const stream_entry& entry) {
    return entry.payload.is_array() && entry.payload.size() <= max_records_per_append;
}

} // namespace

void fold_base::apply(const stream_entry& entry) {
    if (entry.offset < next_offset_ || entry.offset > max_offset) {
        return;
    }
    next_offset_ = entry.offset + 1;
    if (entry.offset != applied_offset_) {
        buffer_entry(entry);
        return;
    }
    apply_in_order(entry);
}

support::json fold_base::state() const {
    return {{"next_offset", applied_offset_}, {"writers", duplicates_.state()}, {"body", body()}};
}

void fold_base::restore(const support::json& state) {
    if (load(state)) {
        apply_buffered();
    }
}

void fold_base::apply_in_order(const stream_entry& entry) {
    applied_offset_ = entry.offset + 1;
    if (!duplicates_.accept(entry.writer, entry.sequence, entry.offset) || !well_formed(entry)) {
        return;
    }
    std::uint64_t index = 0;
    for (const auto& value : entry.payload) {
        const auto at = make_position(entry.offset, index++);
        const auto parsed = parse(value);
        if (!parsed) {
            continue;
        }
        if (const auto* taken = std::get_if<snapshot>(&*parsed)) {
            apply_snapshot(entry.offset, *taken);
            continue;
        }
        apply_record(at, *parsed);
    }
}

void fold_base::apply_snapshot(std::uint64_t offset, const snapshot& taken) {
    if (taken.keep_from > offset) {
        return;
    }
    duplicates_.discard_before(taken.keep_from);
    discard_before(taken.keep_from);
}

void fold_base::buffer_entry(const stream_entry& entry) {
    if (!buffered_.empty() && buffered_.back().offset + 1 != entry.offset) {
        buffered_.clear();
    }
    buffered_.push_back(entry);
    if (!well_formed(entry)) {
        return;
    }
    for (const auto& value : entry.payload) {
        const auto parsed = parse(value);
        if (!parsed || !std::holds_alternative<snapshot>(*parsed)) {
            continue;
        }
        const auto& state = std::get<snapshot>(*parsed).state;
        const auto next = state.find("next_offset");
        const bool may_cover_gap =
            next != state.end() && next->is_number_unsigned() && *next <= entry.offset;
        if (may_cover_gap && load(state)) {
            apply_buffered();
            return;
        }
    }
}

void fold_base::apply_buffered() {
    while (!buffered_.empty() && buffered_.front().offset <= applied_offset_) {
        const auto entry = std::move(buffered_.front());
        buffered_.pop_front();
        if (entry.offset == applied_offset_) {
            apply_in_order(entry);
        }
    }
    next_offset_ = std::max(next_offset_, applied_offset_);
}

bool fold_base::load(const support::json& state) {
    try {
        const auto& next = state.at("next_offset");
        if (!next.is_number_unsigned() || next <= applied_offset_ || next > max_offset) {
            return false;
        }
        duplicate_filter writers;
        writers.restore(state.at("writers"));
        load_body(state.at("body"));
        duplicates_ = std::move(writers);
        applied_offset_ = next.get<std::uint64_t>();
        return true;
    } catch (const support::json::exception&) {
        return false;
    }
}

} // namespace dragonflystair::ledger
