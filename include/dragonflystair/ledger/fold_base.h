#pragma once

#include "dragonflystair/ledger/duplicate_filter.h"
#include "dragonflystair/ledger/records.h"
#include "dragonflystair/ledger/stream_entry.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace dragonflystair::ledger {

/// What all folds share: the order of entries, repeated appends, and snapshots.
///
/// Offsets of a stream have no gaps. A fold that is given an entry beyond the next one (its reader
/// started after entries had been dropped from the log) holds entries back until a snapshot or a
/// peer's state covers the gap, and then applies what came after that state. A snapshot is taken a
/// while before it is appended, so entries between the two are applied on top of it.
class fold_base {
public:
    /// Applies one append; entries must come in offset order, and a copy already applied is
    /// ignored. Never throws on bad content: what is not valid at its position changes nothing.
    void apply(const stream_entry& entry);

    /// Offset of the next entry to hand to `apply`.
    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

    /// True while entries are missing, so that the state is behind `next_offset`. The node must not
    /// decide on such a state.
    [[nodiscard]] bool waits_for_snapshot() const { return !held_back_.empty(); }

    /// State for a snapshot record or for a peer, and its inverse. `restore` ignores a state that
    /// is malformed or not newer than its own, so that a fold never goes back.
    [[nodiscard]] support::json state() const;
    void restore(const support::json& state);

protected:
    fold_base() = default;
    fold_base(const fold_base&) = default;
    fold_base(fold_base&&) = default;
    fold_base& operator=(const fold_base&) = default;
    fold_base& operator=(fold_base&&) = default;
    virtual ~fold_base() = default;

    /// Applies one record that is well formed; it may still be invalid at its position.
    virtual void apply_record(position place, const record& item) = 0;

    /// Drops what is older than `offset` and no longer needed. Called at the same record on every
    /// reader.
    virtual void forget_before(std::uint64_t offset) = 0;

    /// The part of the state that the derived fold owns.
    [[nodiscard]] virtual support::json body() const = 0;

    /// Replaces that part. Throws `json::exception` on malformed input, and then changes nothing.
    virtual void load_body(const support::json& value) = 0;

private:
    void apply_in_order(const stream_entry& entry);
    void apply_snapshot(std::uint64_t offset, const snapshot& item);
    void hold_back(const stream_entry& entry);
    void apply_held_back();
    bool load(const support::json& state);

    std::uint64_t next_offset_ = 0;    ///< Next entry to be handed over.
    std::uint64_t applied_offset_ = 0; ///< Next entry to be applied.
    duplicate_filter duplicates_;
    std::deque<stream_entry> held_back_;
};

} // namespace dragonflystair::ledger
