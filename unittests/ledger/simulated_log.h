#pragma once

#include "dragonflystair/ledger/records.h"
#include "dragonflystair/ledger/stream_entry.h"

#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::ledger {

/// In-memory stream of the log service. Payloads are serialized to text and parsed, as on the wire.
class simulated_log {
public:
    std::uint64_t append(std::string writer, std::uint64_t sequence, const support::json& payload) {
        entries_.push_back(
            {entries_.size(), std::move(writer), sequence, support::json::parse(payload.dump())});
        return entries_.back().offset;
    }

    /// Appends one record under a writer of its own. Returns the position of the record.
    position append(const record& content) {
        auto payload = support::json::array({to_json(content)});
        return make_position(append("w", ++sequence_, payload), 0);
    }

    [[nodiscard]] const std::vector<stream_entry>& entries() const { return entries_; }
    [[nodiscard]] std::uint64_t next() const { return entries_.size(); }

    /// Applies up to `limit` entries that the fold has not applied.
    template <class Fold> void feed(Fold& fold, std::size_t limit = 1'000'000) const {
        while (limit-- > 0 && fold.next_offset() < entries_.size()) {
            fold.apply(entries_[fold.next_offset()]);
        }
    }

    /// Returns a fold that has applied all entries.
    template <class Fold> [[nodiscard]] Fold read() const {
        Fold fold;
        feed(fold);
        return fold;
    }

private:
    std::vector<stream_entry> entries_;
    std::uint64_t sequence_ = 0;
};

/// Returns the open record of a session of `node`, with the node's name as its incarnation.
inline session_open open_of(const std::string& node, const std::string& region = "north",
                            const std::string& data_centre = "a") {
    return {node, node, region, data_centre, "127.0.0.1:1", "127.0.0.1:2"};
}

} // namespace dragonflystair::ledger
