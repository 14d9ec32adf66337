#include "dragonflystair/ledger/duplicate_filter.h"

namespace dragonflystair::ledger {

bool duplicate_filter::accept(std::string_view writer, std::uint64_t sequence,
                              std::uint64_t offset) {
    const auto known = last_.find(writer);
    if (known == last_.end()) {
        last_.emplace(std::string(writer), last_append{sequence, offset});
        return true;
    }
    if (sequence <= known->second.sequence) {
        return false;
    }
    known->second = {sequence, offset};
    return true;
}

void duplicate_filter::forget_before(std::uint64_t offset) {
    std::erase_if(last_, [&](const auto& item) { return item.second.offset < offset; });
}

support::json duplicate_filter::state() const {
    auto writers = support::json::object();
    for (const auto& [writer, last] : last_) {
        writers[writer] = {last.sequence, last.offset};
    }
    return writers;
}

void duplicate_filter::restore(const support::json& state) {
    std::map<std::string, last_append, std::less<>> last;
    for (const auto& [writer, item] : state.items()) {
        last[writer] = {item.at(0).get<std::uint64_t>(), item.at(1).get<std::uint64_t>()};
    }
    last_ = std::move(last);
}

} // namespace dragonflystair::ledger
