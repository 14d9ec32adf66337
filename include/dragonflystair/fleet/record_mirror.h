#pragma once

#include "dragonflystair/fleet/keyed_record.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// A node's copy of a compacted topic. Accepts records from the store and from peers in any order
/// and never replaces a value by an older one of the same key.
class record_mirror {
public:
    /// Applies a page and returns the records that changed the copy, in the order of the page. A
    /// page that begins after the end of the copy does not advance that end, so that the records in
    /// the gap are still requested.
    std::vector<keyed_record> apply(const keyed_page& page);

    /// Replaces the copy by a full list of the newest records, as after records of the log were
    /// lost, and returns the changes. Missing keys count as deleted unless the list is older than
    /// the copy, as a lagging store may send it.
    std::vector<keyed_record> resynchronise(const keyed_page& newest);

    /// Returns the records, including tombstones, that a peer whose copy ends at `from` lacks.
    [[nodiscard]] keyed_page since(std::uint64_t from) const;

    /// Returns the offset up to which the copy is complete.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    [[nodiscard]] bool empty() const { return next_ == 0; }

private:
    std::map<std::string, keyed_record, std::less<>> newest_;
    std::uint64_t next_ = 0;
};

} // namespace dragonflystair::fleet
