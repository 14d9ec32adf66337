#pragma once

#include "dragonflystair/net/http_message.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include "config_view.h"
#include "problem.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace dragonflystair::node {

/// A caller's completion request, validated against the current configuration.
struct model_request {
    std::string service;
    std::string model; ///< Full name `service/adapter@version`.
    support::json body;
    bool chat = false;
    bool stream = false;
    bool long_work = false;
    std::uint64_t fingerprint = 0;
    std::uint64_t first_position =
        0; ///< Position after `Last-Event-ID` when a caller resumes a stream.
    support::time_point deadline;
};

/// Time to the deadline of a request without the header `X-Deadline-Ms`.
inline constexpr std::chrono::milliseconds default_deadline{30'000};
/// Upper bound on the header `X-Deadline-Ms`; larger values are reduced to it.
inline constexpr std::chrono::milliseconds max_deadline{3'600'000};

/// Returns the deadline from the header `X-Deadline-Ms`, or the default if the header is absent or
/// not a number.
support::time_point deadline_of(const net::http_headers& headers, support::time_point now);

/// Parses and validates a request. Returns a problem if the request is invalid.
std::variant<model_request, problem> read_model_request(const net::http_request& request, bool chat,
                                                        const config_view& config,
                                                        support::time_point now);

} // namespace dragonflystair::node
