#pragma once

#include "dragonflystair/ledger/fold_base.h"

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
    std::uint64_t attempt = 0; ///< The writer's number of the winning claim.
    position claim = 0;        ///< Position of the winning claim.
    position last = 0;         ///< Position of the last record that changed the key.
    std::optional<key_outcome> outcome;
    bool operator==(const key_state&) const = default;
};

/// Fold of the stream `claims`. The first claim of a key in offset order wins; an abandoned claim
/// frees the key; an open claim is never freed by a session's death.
class claim_fold final : public fold_base {
public:
    [[nodiscard]] const key_state* find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

    /// Number of the last claim of a session that has been read, won or lost; 0 if none. Claims of
    /// a session reach the stream in the order of their numbers.
    [[nodiscard]] std::uint64_t last_attempt(session_id session) const;

private:
    struct attempt_seen {
        std::uint64_t attempt = 0;
        position at = 0;
    };

    void apply_record(position place, const record& item) override;
    void on_claim(position place, const key_claim& item);
    void on_outcome(position place, const key_outcome& item);
    void on_abandon(position place, const key_abandon& item);

    /// Forgets keys whose last record is older than `offset` (the end of the key window).
    void forget_before(std::uint64_t offset) override;
    [[nodiscard]] support::json body() const override;
    void load_body(const support::json& value) override;

    std::map<std::string, key_state, std::less<>> keys_;
    std::map<session_id, attempt_seen> attempts_;
};

} // namespace dragonflystair::ledger
