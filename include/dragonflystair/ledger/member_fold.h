#pragma once

#include "dragonflystair/ledger/fold_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::ledger {

/// A live session as the fold knows it.
struct session_state {
    session_open open;
    position last_renewal = 0;  ///< Position of the last renewal, or of the open record.
    std::uint64_t renewals = 0; ///< Accepted renewals, the open record included.
    bool operator==(const session_state&) const = default;
};

/// The holder of an endpoint and its fencing number.
struct holder {
    session_id session = 0;
    position fence = 0;
    bool operator==(const holder&) const = default;
};

/// An announced unload whose result is not known.
struct unresolved_intent {
    session_id session = 0;
    std::string adapter;
    bool operator==(const unresolved_intent&) const = default;
    auto operator<=>(const unresolved_intent&) const = default;
};

/// Fold of the stream `members`: live sessions, grants, unresolved eviction intents. Deterministic:
/// the same entries in the same order give the same state on each node.
///
/// An incarnation has one live session at most: a new `session_open` of it ends the one before.
/// An intent stays unresolved after its session has ended, until an `eviction_done` names it.
class member_fold final : public fold_base {
public:
    [[nodiscard]] const std::map<session_id, session_state>& sessions() const { return sessions_; }
    [[nodiscard]] bool live(session_id session) const { return sessions_.contains(session); }

    /// True unless the session is known to have ended. Another stream can name a session before
    /// this fold has read its open record.
    [[nodiscard]] bool may_be_live(session_id session) const {
        return live(session) || session >= make_position(next_offset(), 0);
    }

    /// Session of a node's incarnation, if it is live.
    [[nodiscard]] std::optional<session_id> session_of(std::string_view incarnation) const;

    /// Holder of an endpoint, if there is one and its session is live.
    [[nodiscard]] std::optional<holder> holder_of(std::string_view endpoint) const;

    /// Last grant of an endpoint whether or not its session still lives.
    [[nodiscard]] std::optional<holder> last_grant_of(std::string_view endpoint) const;

    /// Session that the last holder named to follow it; 0 if none or if a grant came since.
    [[nodiscard]] session_id successor_of(std::string_view endpoint) const;

    /// Endpoints held by a session.
    [[nodiscard]] std::vector<std::string> endpoints_held_by(session_id session) const;

    /// Unresolved intents on an endpoint by sessions other than `except`.
    [[nodiscard]] std::vector<unresolved_intent> intents_on(std::string_view endpoint,
                                                            session_id except) const;

private:
    struct grant_state {
        holder current;
        session_id successor = 0;
        bool released = false;
    };

    void apply_record(position place, const record& item) override;
    void end_session(session_id session);
    void on_open(position place, const session_open& item);
    void on_renew(position place, const session_renew& item);
    void on_expire(const session_expire& item);
    void on_grant(position place, const grant& item);
    void on_release(const release& item);
    void on_intent(const eviction_intent& item);
    void on_done(const eviction_done& item);

    /// Forgets grants of ended sessions that are older than `offset` and have no open intent.
    void forget_before(std::uint64_t offset) override;
    [[nodiscard]] support::json body() const override;
    void load_body(const support::json& value) override;
    [[nodiscard]] bool held_by_live(std::string_view endpoint, session_id session) const;

    std::map<session_id, session_state> sessions_;
    std::map<std::string, grant_state, std::less<>> grants_;
    std::map<std::string, std::set<unresolved_intent>, std::less<>> intents_;
};

} // namespace dragonflystair::ledger
