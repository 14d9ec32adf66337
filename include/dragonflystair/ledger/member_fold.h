#pragma once

#include "dragonflystair/ledger/fold_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::ledger {

/// State of a live session.
struct session_state {
    session_open open;
    position last_renewal = 0;  ///< Position of the last renewal, or of the open record.
    std::uint64_t renewals = 0; ///< Accepted renewals, the open record included.
    bool operator==(const session_state&) const = default;
};

/// The session that owns an endpoint, with the fencing number of its grant.
struct holder {
    session_id session = 0;
    position fence = 0;
    bool operator==(const holder&) const = default;
};

/// An announced unload of an adapter whose result is unknown.
struct unresolved_intent {
    session_id session = 0;
    std::string adapter;
    bool operator==(const unresolved_intent&) const = default;
    auto operator<=>(const unresolved_intent&) const = default;
};

/// Fold of the stream `members`: live sessions, grants, and unresolved eviction intents.
///
/// An incarnation of a node has at most one live session: a new `session_open` ends its previous
/// session. An intent stays unresolved after its session has ended, until an `eviction_done` record
/// refers to it.
class member_fold final : public fold_base {
public:
    [[nodiscard]] const std::map<session_id, session_state>& sessions() const { return sessions_; }
    [[nodiscard]] bool live(session_id session) const { return sessions_.contains(session); }

    /// Returns false only if the session has ended. Another stream can refer to a session before
    /// this fold has read its open record, so a session from beyond `next_offset` may be live.
    [[nodiscard]] bool may_be_live(session_id session) const {
        return live(session) || session >= make_position(next_offset(), 0);
    }

    /// Returns the live session of a node's incarnation, if there is one.
    [[nodiscard]] std::optional<session_id> session_of(std::string_view incarnation) const;

    /// Returns the holder of an endpoint, if there is one and its session is live.
    [[nodiscard]] std::optional<holder> holder_of(std::string_view endpoint) const;

    /// Returns the last holder of an endpoint, whether or not its session is still live.
    [[nodiscard]] std::optional<holder> last_grant_of(std::string_view endpoint) const;

    /// Returns the successor that the last holder named on release; 0 if it named none or if the
    /// endpoint has been granted since.
    [[nodiscard]] session_id successor_of(std::string_view endpoint) const;

    [[nodiscard]] std::vector<std::string> endpoints_held_by(session_id session) const;

    /// Returns the unresolved intents on an endpoint by sessions other than `except`.
    [[nodiscard]] std::vector<unresolved_intent> intents_on(std::string_view endpoint,
                                                            session_id except) const;

private:
    struct grant_state {
        holder current;
        session_id successor = 0;
        bool released = false;
    };

    void apply_record(position at, const record& content) override;
    void end_session(session_id session);
    void on_open(position at, const session_open& opened);
    void on_renew(position at, const session_renew& renewal);
    void on_expire(const session_expire& expiry);
    void on_grant(position at, const grant& granted);
    void on_release(const release& released);
    void on_intent(const eviction_intent& intent);
    void on_done(const eviction_done& done);

    /// Discards grants of ended sessions that are older than `offset` and whose endpoint has no
    /// unresolved intent.
    void discard_before(std::uint64_t offset) override;
    [[nodiscard]] support::json body() const override;
    void load_body(const support::json& value) override;
    [[nodiscard]] bool is_live_holder(std::string_view endpoint, session_id session) const;

    std::map<session_id, session_state> sessions_;
    std::map<std::string, grant_state, std::less<>> grants_;
    std::map<std::string, std::set<unresolved_intent>, std::less<>> intents_;
};

} // namespace dragonflystair::ledger
