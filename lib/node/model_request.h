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

/// A caller's request for a completion, checked against the configuration in force.
struct model_request {
    std::string service;
    std::string model; ///< Full name `service/adapter@version`.
    support::json body;
    bool chat = false;
    bool stream = false;
    bool long_work = false;
    std::uint64_t fingerprint = 0;
    std::uint64_t first_position = 0; ///< After `Last-Event-ID` when a caller comes back.
    support::time_point deadline;
};

/// Deadline of a caller that names none, in the header `X-Deadline-Ms`.
inline constexpr std::chrono::milliseconds default_deadline{30'000};
inline constexpr std::chrono::milliseconds longest_deadline{3'600'000};

/// Deadline of a request as its header says; the default if the header is absent or not a number.
support::time_point deadline_of(const net::http_headers& headers, support::time_point now);

/// Reads a request, or says what is wrong with it.
std::variant<model_request, problem> read_model_request(const net::http_request& request, bool chat,
                                                        const config_view& config,
                                                        support::time_point now);

} // namespace dragonflystair::node
