#include "dragonflystair/ledger/duplicate_filter.h"

namespace dragonflystair::ledger {

bool duplicate_filter::accept(std::string_view writer, std::uint64_t sequence,
                              std::uint64_t offset) {
    const auto found = last_.find(writer);
    if (found == last_.end()) {
        last_.emplace(std::string(writer), last_append{sequence, offset});
        return true;
    }
    if (sequence <= found->second.sequence) {
        return false;
    }
    found->second = {sequence, offset};
    return true;
}

void duplicate_filter::discard_before(std::uint64_t offset) {
    std::erase_if(last_, [&](const auto& entry) { return entry.second.offset < offset; });
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
    for (const auto& [writer, entry] : state.items()) {
        last[writer] = {entry.at(0).get<std::uint64_t>(), entry.at(1).get<std::uint64_t>()};
    }
    last_ = std::move(last);
}

} // namespace dragonflystair::ledger
