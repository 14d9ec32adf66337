#pragma once

#include "dragonflystair/ledger/fold_base.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::ledger {

/// State of an idempotency key: claimed by a call that has no recorded outcome yet, completed with
/// an outcome, or abandoned without having been run, which leaves the key free.
enum class key_status { claimed, completed, not_run };

/// State of one idempotency key.
struct key_state {
    key_status status = key_status::claimed;
    std::string digest;
    session_id session = 0;
    std::uint64_t attempt = 0; ///< Attempt number of the winning claim, set by its writer.
    position claim = 0;        ///< Position of the winning claim.
    position last = 0;         ///< Position of the last record that changed the key.
    std::optional<key_outcome> outcome;
    bool operator==(const key_state&) const = default;
};

/// Fold of the stream `claims`. The first claim of a key in offset order wins; an abandoned claim
/// frees the key; a claim without an outcome stays in force after its session has ended.
class claim_fold final : public fold_base {
public:
    [[nodiscard]] const key_state* find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

    /// Returns the number of a session's last claim that has been applied, whether it won or lost;
    /// 0 if there is none. Claims of a session reach the stream in the order of their numbers.
    [[nodiscard]] std::uint64_t last_attempt(session_id session) const;

private:
    struct last_claim {
        std::uint64_t attempt = 0;
        position at = 0;
    };

    void apply_record(position at, const record& content) override;
    void on_claim(position at, const key_claim& claim);
    void on_outcome(position at, const key_outcome& outcome);
    void on_abandon(position at, const key_abandon& abandon);

    /// Discards keys and attempt numbers whose last record is older than `offset`, which ends the
    /// retention window of the keys.
    void discard_before(std::uint64_t offset) override;
    [[nodiscard]] support::json body() const override;
    void load_body(const support::json& value) override;

    std::map<std::string, key_state, std::less<>> keys_;
    std::map<session_id, last_claim> attempts_;
};

} // namespace dragonflystair::ledger
