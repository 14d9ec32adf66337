#pragma once

#include "dragonflystair/ledger/duplicate_filter.h"
#include "dragonflystair/ledger/records.h"
#include "dragonflystair/ledger/stream_entry.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace dragonflystair::ledger {

/// Base of all folds. A fold is the replicated state of one log stream: every reader that applies
/// the same entries in the same order has the same state. This class enforces the order of entries,
/// filters duplicate appends, and restores snapshots.
///
/// Offsets of a stream have no gaps. A fold that receives an entry beyond the next one (its reader
/// started after entries had been dropped from the log) buffers entries until a snapshot or a
/// peer's state covers the gap, and then applies the buffered entries that follow that state. A
/// snapshot is taken some time before it is appended, so entries between the two are applied on top
/// of it.
class fold_base {
public:
    /// Applies one append. Entries must be passed in offset order; an entry that has already been
    /// applied is ignored. Never throws on invalid content: a record that is not valid at its
    /// position has no effect.
    void apply(const stream_entry& entry);

    /// Offset of the next entry to pass to `apply`.
    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

    /// Returns true while entries are missing, so that the state is behind `next_offset`. The node
    /// must not base decisions on such a state.
    [[nodiscard]] bool waits_for_snapshot() const { return !buffered_.empty(); }

    /// `state` returns the state for a snapshot record or for a peer, and `restore` loads one.
    /// `restore` ignores a state that is malformed or not newer than the current one, so that a
    /// fold never reverts to an earlier state.
    [[nodiscard]] support::json state() const;
    void restore(const support::json& state);

protected:
    fold_base() = default;
    fold_base(const fold_base&) = default;
    fold_base(fold_base&&) = default;
    fold_base& operator=(const fold_base&) = default;
    fold_base& operator=(fold_base&&) = default;
    virtual ~fold_base() = default;

    /// Applies one record that is well formed but may be invalid at its position, in which case it
    /// must have no effect.
    virtual void apply_record(position at, const record& content) = 0;

    /// Discards state that has not changed since `offset` and is no longer needed. Called at the
    /// same record on every reader.
    virtual void discard_before(std::uint64_t offset) = 0;

    /// Returns the part of the state that the derived fold owns.
    [[nodiscard]] virtual support::json body() const = 0;

    /// Replaces the part of the state that the derived fold owns. On malformed input, throws
    /// `json::exception` and leaves the state unchanged.
    virtual void load_body(const support::json& value) = 0;

private:
    void apply_in_order(const stream_entry& entry);
    void apply_snapshot(std::uint64_t offset, const snapshot& taken);
    void buffer_entry(const stream_entry& entry);
    void apply_buffered();
    bool load(const support::json& state);

    std::uint64_t next_offset_ = 0;    ///< Offset of the next entry to be passed to `apply`.
    std::uint64_t applied_offset_ = 0; ///< Offset of the next entry to be applied to the state.
    duplicate_filter duplicates_;
    std::deque<stream_entry> buffered_;
};

} // namespace dragonflystair::ledger
