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

/// The body of one section of the operators' text: key to value, as written. Section names are the
/// words in brackets, such as `service assistant`.
using section = std::map<std::string, std::string>;

/// Stream `config`: sections changed against revision `base`; a missing value removes the section.
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

/// Stream `members`: the holder is alive. At the design size one record renews a whole data centre.
struct session_renew {
    std::vector<session_id> sessions;
    bool operator==(const session_renew&) const = default;
};

/// Stream `members`: accepted only if the session was not renewed after `seen_renewal`.
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

/// Stream `members`: asks for the ownership of an endpoint, or of the resource `store`.
struct grant {
    std::string endpoint;
    session_id session = 0;
    bool operator==(const grant&) const = default;
};

/// Stream `members`: the holder gives up an endpoint, optionally naming the session to follow.
struct release {
    std::string endpoint;
    session_id session = 0;
    session_id successor = 0;
    bool operator==(const release&) const = default;
};

/// Stream `members`: announces an unload order to an endpoint that ignores fencing numbers.
struct eviction_intent {
    std::string endpoint;
    session_id session = 0;
    std::string adapter;
    bool operator==(const eviction_intent&) const = default;
};

/// Stream `members`: the order of the intent has been answered, or can no longer take effect.
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
    std::uint64_t attempt = 0; ///< Rises with each claim of the writer, to tell its claims apart.
    bool operator==(const key_claim&) const = default;
};

/// Stream `claims`: the endpoint's answer. `body` is empty when it was longer than 16 KiB.
struct key_outcome {
    std::string key;
    position claim = 0;
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_dropped = false;
    bool operator==(const key_outcome&) const = default;
};

/// Stream `claims`: the claim was never dispatched, or the endpoint refused it; the key is free.
struct key_abandon {
    std::string key;
    position claim = 0;
    bool operator==(const key_abandon&) const = default;
};

/// Any stream: the state of that stream's fold at some offset not after this record. On reaching
/// it, each fold forgets what has not changed since offset `keep_from`; the writer takes that
/// offset from half of the retention ago. As part of the record it is the same for all readers.
struct snapshot {
    support::json state;
    std::uint64_t keep_from = 0;
    bool operator==(const snapshot&) const = default;
};

using record = std::variant<config_change, session_open, session_renew, session_expire,
                            session_close, grant, release, eviction_intent, eviction_done,
                            key_claim, key_outcome, key_abandon, snapshot>;

/// JSON form: an object with `type` and the record's members. A body that is not UTF-8 is written
/// as `body_base64`.
support::json to_json(const record& item);

/// Fails with `error_kind::malformed` on an unknown type or a missing or mistyped member.
support::result<record> record_from_json(const support::json& value);

} // namespace dragonflystair::ledger
