#pragma once

#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/support/placed_finding.h"

#include <cstddef>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// Lists of a configuration whose entries can have findings.
enum class configuration_list { routes, services, tenants };

/// Property of an entry that a finding is about.
enum class entry_property {
    name,
    host,
    path_prefix,
    objective,
    event_gap,
    resumable,
    target_service, ///< Name of one of a route's services.
    target_weight,
    engine_slots,
    keys,
    plain_call_tokens,
    burst,
};

/// A finding in an entry. Whoever knows the form of the configuration turns it into a place.
struct configuration_finding {
    support::severity level = support::severity::error;
    configuration_list list = configuration_list::routes;
    std::size_t index = 0; ///< In the list; services are in the order of their names.
    entry_property property = entry_property::name;
    std::size_t element = 0; ///< Which of a route's services or a tenant's keys.
    std::string message;     ///< Never contains a key.
};

/// Reports entries that can never match and limits that contradict each other.
std::vector<configuration_finding> check_configuration(const configuration& checked);

} // namespace dragonflystair::fleet
