#pragma once

#include "dragonflystair/ledger/duplicate_filter.h"
#include "dragonflystair/ledger/stream_entry.h"

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
    position last_renewal = 0; ///< Position of the last renewal, or of the open record.
};

/// The holder of an endpoint and its fencing number.
struct holder {
    session_id session = 0;
    position fence = 0;
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
class member_fold {
public:
    /// Applies one append; entries must come in offset order, and a copy already applied is
    /// ignored. Records that are not valid at their position change nothing.
    void apply(const stream_entry& entry);

    /// Offset of the next entry to apply.
    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

    [[nodiscard]] const std::map<session_id, session_state>& sessions() const { return sessions_; }
    [[nodiscard]] bool live(session_id session) const { return sessions_.contains(session); }

    /// Session of a node's incarnation, if it is live.
    [[nodiscard]] std::optional<session_id> session_of(std::string_view incarnation) const;

    /// Holder of an endpoint, if there is one and its session is live.
    [[nodiscard]] std::optional<holder> holder_of(std::string_view endpoint) const;

    /// Last grant of an endpoint whether or not its session still lives.
    [[nodiscard]] std::optional<holder> last_grant_of(std::string_view endpoint) const;

    /// Session that the last holder named to follow it; 0 if none or if a grant came since.
    [[nodiscard]] session_id successor_of(std::string_view endpoint) const;

    /// Endpoints held by a session.
    [[nodiscard]] std::vector<std::string> held_by(session_id session) const;

    /// Unresolved intents on an endpoint by sessions other than `except`.
    [[nodiscard]] std::vector<unresolved_intent> intents_on(std::string_view endpoint,
                                                            session_id except) const;

    /// State for a snapshot record or for a peer, and its inverse. `restore` ignores a state older
    /// than its own, so that a fold never goes back.
    [[nodiscard]] support::json state() const;
    void restore(const support::json& state);

private:
    struct grant_state {
        holder current;
        session_id successor = 0;
        bool released = false;
    };

    void apply_record(position place, const record& item);
    void end_session(session_id session);

    std::uint64_t next_offset_ = 0;
    duplicate_filter duplicates_;
    std::map<session_id, session_state> sessions_;
    std::map<std::string, grant_state, std::less<>> grants_;
    std::map<std::string, std::set<unresolved_intent>, std::less<>> intents_;
};

} // namespace dragonflystair::ledger
