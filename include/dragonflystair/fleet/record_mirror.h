#pragma once

#include "dragonflystair/fleet/keyed_record.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// A node's copy of a topic that keeps the newest value of each key. It accepts records from the
/// store and from peers in any order and never goes back to an older value of a key.
class record_mirror {
public:
    /// Records that changed the copy, in the order of their offsets. A page that begins after the
    /// end of the copy does not move that end, so that the records between are still asked for.
    std::vector<keyed_record> apply(const keyed_page& page);

    /// Replaces the copy by all newest records, as after a loss of history. Keys that are missing
    /// count as dropped unless the list is older than the copy, which a lagging store may send.
    std::vector<keyed_record> resynchronise(const keyed_page& newest);

    /// Records, dropped keys included, that a peer whose copy ends at `from` does not have.
    [[nodiscard]] keyed_page since(std::uint64_t from) const;

    /// Offset up to which the copy is complete.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    [[nodiscard]] bool empty() const { return next_ == 0; }

private:
    std::map<std::string, keyed_record, std::less<>> newest_;
    std::uint64_t next_ = 0;
};

} // namespace dragonflystair::fleet
