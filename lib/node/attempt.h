#pragma once

#include "dragonflystair/policy/request.h"
#include "dragonflystair/support/error.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <string>

namespace dragonflystair::node {

/// One attempt at a model request on one endpoint, as sent to the endpoint's owner. Each attempt
/// has its own id, so that a late event of an earlier attempt is not attributed to this one.
struct attempt {
    std::string id;
    std::string endpoint;
    std::string model; ///< Full name `service/adapter@version`.
    support::json body;
    bool chat = false;
    bool long_work = false;
    bool isolated = false;
    std::uint64_t fingerprint = 0;
    std::uint64_t resume_from = 0;
    support::time_point deadline;
};

/// Encodes the members of an `open_call` frame. The deadline is encoded as remaining milliseconds,
/// since the clocks of two VMs are not comparable.
support::json to_json(const attempt& source, support::time_point now);

/// Decodes an `open_call` frame. Fails with `malformed` if a member is missing or has a wrong type.
support::result<attempt> attempt_from_json(const support::json& value, support::time_point now);

/// Converts an attempt to a request for the owner's scheduler.
policy::request to_policy_request(const attempt& source);

} // namespace dragonflystair::node
