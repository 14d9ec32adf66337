#pragma once

#include "dragonflystair/fleet/dispatcher.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace dragonflystair::fleet {

/// Time at which tests begin.
inline constexpr support::time_point start{std::chrono::hours{1}};

/// Returns a call that has to leave the queue, and whose answer is due, when `objective` has passed
/// since its arrival.
inline pending_call sample_call(std::uint64_t number, const std::string& service,
                                support::time_point arrived, support::duration objective) {
    pending_call call;
    call.number = number;
    call.service = service;
    call.arrived = arrived;
    call.objective_deadline = arrived + objective;
    call.queue_deadline = call.objective_deadline;
    return call;
}

/// Returns the record of an endpoint without models.
inline endpoint_record sample_endpoint(const std::string& id, const std::string& service,
                                       std::size_t slots,
                                       const std::string& data_centre = "north") {
    endpoint_record record;
    record.id = id;
    record.service = service;
    record.address = "10.0.0.1:80";
    record.data_centre = data_centre;
    record.slots = slots;
    record.started_ms = 1;
    return record;
}

/// Returns a configuration with the plain service `register` and, for a number of slots other than
/// 0, the service `assistant`, whose engines have so many.
inline configuration sample_configuration(std::size_t batch_slots = 0) {
    configuration current;
    current.services["register"].name = "register";
    if (batch_slots > 0) {
        auto& assistant = current.services["assistant"];
        assistant.name = "assistant";
        assistant.has_engines = true;
        assistant.engines.batch_slots = batch_slots;
    }
    return current;
}

} // namespace dragonflystair::fleet
