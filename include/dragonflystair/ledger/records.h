#pragma once

#include "dragonflystair/ledger/position.h"
#include "dragonflystair/support/error.h"
#include "dragonflystair/support/json.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflystair::ledger {

/// Position of a session's `session_open` record.
using session_id = position;

/// Body of one section of the published configuration: key to value, as written. A section name is
/// the text between the brackets, such as `service assistant`.
using section = std::map<std::string, std::string>;

/// Stream `config`: changes sections relative to revision `base`. An empty optional removes the
/// section.
struct config_change {
    position base = 0;
    std::map<std::string, std::optional<section>> sections;
    std::string author;
    bool operator==(const config_change&) const = default;
};

/// Stream `members`: a node starts a session. The addresses are `IP:PORT`.
struct session_open {
    std::string node;
    std::string incarnation;
    std::string region;
    std::string data_centre;
    std::string caller_address;
    std::string peer_address;
    bool operator==(const session_open&) const = default;
};

/// Stream `members`: renews the leases of sessions. One record can renew the sessions of a whole
/// data centre, as it does at the design size.
struct session_renew {
    std::vector<session_id> sessions;
    bool operator==(const session_renew&) const = default;
};

/// Stream `members`: ends a session whose lease has expired. Accepted only if the session was not
/// renewed after `seen_renewal`.
struct session_expire {
    session_id session = 0;
    position seen_renewal = 0;
    bool operator==(const session_expire&) const = default;
};

/// Stream `members`: the holder ends its own session after a graceful shutdown.
struct session_close {
    session_id session = 0;
    bool operator==(const session_close&) const = default;
};

/// Stream `members`: requests the ownership of an endpoint, or of the resource `store`.
struct grant {
    std::string endpoint;
    session_id session = 0;
    bool operator==(const grant&) const = default;
};

/// Stream `members`: the holder releases an endpoint and optionally names the successor session; 0
/// means none.
struct release {
    std::string endpoint;
    session_id session = 0;
    session_id successor = 0;
    bool operator==(const release&) const = default;
};

/// Stream `members`: announces an unload command to an endpoint that does not check fencing
/// numbers.
struct eviction_intent {
    std::string endpoint;
    session_id session = 0;
    std::string adapter;
    bool operator==(const eviction_intent&) const = default;
};

/// Stream `members`: the command announced by an intent has been answered, or can no longer take
/// effect.
struct eviction_done {
    std::string endpoint;
    session_id session = 0;
    std::string adapter;
    bool operator==(const eviction_done&) const = default;
};

/// Stream `claims`: the first claim of a key in offset order wins.
struct key_claim {
    std::string key;
    std::string digest;
    session_id session = 0;
    /// Increases with each claim of the writer, to distinguish its claims.
    std::uint64_t attempt = 0;
    bool operator==(const key_claim&) const = default;
};

/// Stream `claims`: the endpoint's response. If its body was longer than 16 KiB, `body` is empty
/// and `body_dropped` is true.
struct key_outcome {
    std::string key;
    position claim = 0;
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_dropped = false;
    bool operator==(const key_outcome&) const = default;
};

/// Stream `claims`: the call of the claim was never dispatched, or the endpoint rejected it, so the
/// key is free again.
struct key_abandon {
    std::string key;
    position claim = 0;
    bool operator==(const key_abandon&) const = default;
};

/// Any stream: the state of that stream's fold at an offset not after this record. On applying it,
/// each fold discards what has not changed since offset `keep_from`. The writer sets `keep_from` to
/// the offset of half the retention period ago; the offset is part of the record so that it is the
/// same for all readers.
struct snapshot {
    support::json state;
    std::uint64_t keep_from = 0;
    bool operator==(const snapshot&) const = default;
};

using record = std::variant<config_change, session_open, session_renew, session_expire,
                            session_close, grant, release, eviction_intent, eviction_done,
                            key_claim, key_outcome, key_abandon, snapshot>;

/// Returns the JSON form: an object with `type` and the record's members. A body that is not UTF-8
/// is written as `body_base64`.
support::json to_json(const record& content);

/// Fails with `error_kind::malformed` on an unknown type or a missing or mistyped member.
support::result<record> record_from_json(const support::json& value);

} // namespace dragonflystair::ledger
