#pragma once

#include "dragonflystair/policy/request.h"
#include "dragonflystair/support/error.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <string>

namespace dragonflystair::node {

/// One attempt at a model request on one endpoint, as sent to the endpoint's owner. Its id is
/// different for each attempt, so that a late event of an earlier one is not taken for this one's.
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

/// Members of an `open_call` frame. The deadline travels as remaining milliseconds, since clocks of
/// two VMs cannot be compared.
support::json to_json(const attempt& item, support::time_point now);

/// Fails with `malformed` on a missing or mistyped member.
support::result<attempt> attempt_from_json(const support::json& value, support::time_point now);

/// The request as the owner's scheduler sees it.
policy::request to_policy_request(const attempt& item);

} // namespace dragonflystair::node
