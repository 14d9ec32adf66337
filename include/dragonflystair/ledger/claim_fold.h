#pragma once

#include "dragonflystair/ledger/duplicate_filter.h"
#include "dragonflystair/ledger/stream_entry.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::ledger {

enum class key_status { claimed, completed, not_run };

/// What the fold knows about one idempotency key.
struct key_state {
    key_status status = key_status::claimed;
    std::string digest;
    session_id session = 0;
    position claim = 0; ///< Position of the winning claim.
    std::optional<key_outcome> outcome;
};

/// Fold of the stream `claims`. The first claim of a key in offset order wins; an abandoned claim
/// frees the key; an open claim is never freed by a session's death.
class claim_fold {
public:
    /// Applies one append; entries must come in offset order, and a copy already applied is
    /// ignored.
    void apply(const stream_entry& entry);

    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }
    [[nodiscard]] const key_state* find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

    /// Forgets keys whose last record is older than `offset` (the end of the key window).
    void forget_before(std::uint64_t offset);

    [[nodiscard]] support::json state() const;
    void restore(const support::json& state);

private:
    void apply_record(position place, const record& item);

    std::uint64_t next_offset_ = 0;
    duplicate_filter duplicates_;
    std::map<std::string, key_state, std::less<>> keys_;
};

} // namespace dragonflystair::ledger
