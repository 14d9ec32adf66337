#pragma once

#include "dragonflystair/ledger/records.h"
#include "dragonflystair/ledger/stream_entry.h"

#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::ledger {

/// One stream of the log service in memory. Payloads pass through text, as on the wire.
class simulated_log {
public:
    std::uint64_t append(std::string writer, std::uint64_t sequence, const support::json& payload) {
        entries_.push_back(
            {entries_.size(), std::move(writer), sequence, support::json::parse(payload.dump())});
        return entries_.back().offset;
    }

    /// Appends one record as a writer of its own; returns the record's position.
    position append(const record& item) {
        auto payload = support::json::array({to_json(item)});
        return make_position(append("w", ++sequence_, payload), 0);
    }

    [[nodiscard]] const std::vector<stream_entry>& entries() const { return entries_; }
    [[nodiscard]] std::uint64_t next() const { return entries_.size(); }

    /// Applies up to `limit` entries that the fold has not read.
    template <class Fold> void feed(Fold& fold, std::size_t limit = 1'000'000) const {
        while (limit-- > 0 && fold.next_offset() < entries_.size()) {
            fold.apply(entries_[fold.next_offset()]);
        }
    }

    /// A fold that has read everything.
    template <class Fold> [[nodiscard]] Fold read() const {
        Fold fold;
        feed(fold);
        return fold;
    }

private:
    std::vector<stream_entry> entries_;
    std::uint64_t sequence_ = 0;
};

/// A session of a node; the incarnation is the name unless it is given.
inline session_open open_of(const std::string& node, const std::string& region = "north",
                            const std::string& data_centre = "a") {
    return {node, node, region, data_centre, "127.0.0.1:1", "127.0.0.1:2"};
}

} // namespace dragonflystair::ledger
