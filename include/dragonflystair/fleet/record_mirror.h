#pragma once

#include "dragonflystair/fleet/keyed_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// A node's copy of a compacted topic. Accepts records from the store and from peers in any order
/// and never replaces a value by an older one of the same key.
///
/// Within an era of the store, offsets tell which record is newer. A new era has lost the records
/// that were written after the copy from which the store was restored. Pages of earlier eras are
/// ignored, and each value counts as older than any record of the new era, unless the values
/// themselves have versions that tell otherwise.
class record_mirror {
public:
    /// Returns the version that a record's value has, or nullopt if its values have none. Values
    /// with versions are never deleted.
    using version_reader = std::function<std::optional<std::uint64_t>(const keyed_record&)>;

    explicit record_mirror(version_reader version_of = {}) : version_of_(std::move(version_of)) {}

    /// Applies a page and returns the records that changed the copy, in the order of the page. A
    /// page that begins after the end of the copy does not advance that end, so that the records in
    /// the gap are still requested.
    std::vector<keyed_record> apply(const keyed_page& page);

    /// Replaces the copy by a full list of the newest records, as after records of the log were
    /// lost, and returns the changes. Missing keys count as deleted unless the list is older than
    /// the copy, as a lagging store may send it.
    std::vector<keyed_record> resynchronise(const keyed_page& newest);

    /// Returns the records, including tombstones, that a peer whose copy ends at `end` lacks.
    [[nodiscard]] keyed_page since(log_position end) const;
    /// The same for an offset of this copy's era.
    [[nodiscard]] keyed_page since(std::uint64_t from) const { return since({era_, from}); }

    /// Returns the offset up to which the copy is complete.
    [[nodiscard]] std::uint64_t next() const { return next_; }
    [[nodiscard]] std::uint64_t era() const { return era_; }
    [[nodiscard]] log_position position() const { return {era_, next_}; }
    /// Returns whether the copy has had a full list of the current era.
    [[nodiscard]] bool complete() const { return complete_; }
    [[nodiscard]] bool empty() const { return next_ == 0 && newest_.empty(); }
    /// Returns the sum of the versions that the values have. Versions only grow, so of two copies
    /// that end at the same position the one with the greater sum has a newer value.
    [[nodiscard]] std::uint64_t version_sum() const;
    /// Returns the value of a key, or nullopt if it has none.
    [[nodiscard]] std::optional<std::string> value_of(std::string_view key) const;

private:
    void begin_era(std::uint64_t era);
    bool apply_record(const keyed_record& record);
    void infer_deletions(const keyed_page& list, std::vector<keyed_record>& changed);
    void store(const keyed_record& record);
    [[nodiscard]] std::optional<std::uint64_t> version_of(const keyed_record& record) const;

    version_reader version_of_;
    std::map<std::string, keyed_record, std::less<>> newest_;
    std::map<std::string, std::uint64_t, std::less<>> versions_; ///< Of the values, by key.
    std::uint64_t era_ = 0;
    std::uint64_t next_ = 0;
    bool complete_ = true;
};

} // namespace dragonflystair::fleet
