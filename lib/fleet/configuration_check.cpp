#include "dragonflystair/fleet/configuration_check.h"

#include "dragonflystair/fleet/quota_capacity.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace dragonflystair::fleet {

using support::severity;

namespace {

using findings = std::vector<configuration_finding>;

bool has_weight(const weighted_service& target) {
    return target.weight > 0;
}

void check_limits(const route& checked, std::size_t index, findings& out) {
    const auto add = [&](severity level, entry_property property, std::string message) {
        out.push_back({level, configuration_list::routes, index, property, 0, std::move(message)});
    };
    if (checked.timeout.count() > 0 && checked.objective > checked.timeout) {
        add(severity::error, entry_property::objective,
            fmt::format("the objective of {} ms is over the deadline of {} ms",
                        checked.objective.count(), checked.timeout.count()));
    }
    if (checked.timeout.count() > 0 && checked.max_event_gap > checked.timeout) {
        add(severity::error, entry_property::event_gap,
            fmt::format("the pause of {} ms between events is over the deadline of {} ms",
                        checked.max_event_gap.count(), checked.timeout.count()));
    }
    if (checked.resumable && checked.kind == call_kind::unsafe) {
        add(severity::error, entry_property::resumable,
            "unsafe calls run at most once, but those of a resumable route are repeated");
    }
}

void check_targets(const route& checked, std::size_t index, const configuration& whole,
                   findings& out) {
    const bool any_weight = std::ranges::any_of(checked.services, has_weight);
    for (std::size_t i = 0; i < checked.services.size(); ++i) {
        const auto& target = checked.services[i];
        if (whole.find_service(target.service) == nullptr) {
            out.push_back({severity::warning, configuration_list::routes, index,
                           entry_property::target_service, i,
                           fmt::format("no service is named '{}'", target.service)});
        }
        if (!has_weight(target)) {
            const auto* effect = any_weight ? "the service gets no calls of this route"
                                            : "all weights are 0, so the last gets all calls";
            out.push_back({severity::warning, configuration_list::routes, index,
                           entry_property::target_weight, i,
                           fmt::format("the weight of '{}' is 0: {}", target.service, effect)});
        }
    }
}

void check_routes(const configuration& checked, findings& out) {
    using host_and_path = std::pair<std::string_view, std::string_view>;
    std::map<host_and_path, const route*> first_routes;
    for (std::size_t i = 0; i < checked.routes.size(); ++i) {
        const auto& route = checked.routes[i];
        const auto add = [&](std::string message) {
            out.push_back({severity::error, configuration_list::routes, i,
                           entry_property::path_prefix, 0, std::move(message)});
        };
        if (route.host.empty()) {
            out.push_back({severity::warning, configuration_list::routes, i, entry_property::host,
                           0, "the route only matches calls that name no host"});
        }
        const auto [first, added] =
            first_routes.emplace(host_and_path{route.host, route.path_prefix}, &route);
        if (!added) {
            add(fmt::format("route '{}' can never match: route '{}' before it has the same host "
                            "and path",
                            route.name, first->second->name));
        }
        if (route.path_prefix.find('?') != std::string::npos) {
            add(fmt::format("route '{}' can never match: paths are compared without their query",
                            route.name));
        }
        check_limits(route, i, out);
        check_targets(route, i, checked, out);
    }
}

void check_services(const configuration& checked, findings& out) {
    std::set<std::string_view> used;
    for (const auto& route : checked.routes) {
        for (const auto& target : route.services) {
            used.insert(target.service);
        }
    }
    std::size_t index = 0;
    for (const auto& [name, service] : checked.services) {
        const auto add = [&](entry_property property, std::string message) {
            out.push_back({severity::warning, configuration_list::services, index, property, 0,
                           std::move(message)});
        };
        if (!used.contains(name)) {
            add(entry_property::name, fmt::format("no route leads to service '{}'", name));
        }
        if (service.max_connections > 0 && service.engines.batch_slots > service.max_connections) {
            add(entry_property::engine_slots,
                fmt::format("engines have {} slots but accept {} connections",
                            service.engines.batch_slots, service.max_connections));
        }
        ++index;
    }
}

void check_quota(const tenant& checked, std::size_t index, findings& out) {
    const auto add = [&](severity level, entry_property property, std::string message) {
        out.push_back({level, configuration_list::tenants, index, property, 0, std::move(message)});
    };
    if (checked.rate_per_s <= 0) {
        if (checked.burst > 0) {
            add(severity::warning, entry_property::burst,
                fmt::format("the burst of {} has no effect: without a rate there is no quota",
                            checked.burst));
        }
        return;
    }
    if (checked.unit != quota_unit::tokens) {
        return;
    }
    const auto plain_call = static_cast<double>(checked.plain_call_tokens);
    const double capacity = quota_capacity(checked.rate_per_s, checked.burst);
    if (plain_call > capacity) {
        add(severity::error, entry_property::plain_call_tokens,
            fmt::format("a plain call of {} tokens is always refused: the burst of {} at {} per "
                        "second allows {} at once",
                        plain_call, checked.burst, checked.rate_per_s, capacity));
    } else if (checked.burst > 0 && plain_call > checked.burst) {
        add(severity::warning, entry_property::plain_call_tokens,
            fmt::format("a plain call of {} tokens is over the burst of {}", plain_call,
                        checked.burst));
    }
}

void check_tenants(const configuration& checked, findings& out) {
    std::set<std::string_view> names;
    std::map<std::string_view, std::string_view> holders;
    for (std::size_t i = 0; i < checked.tenants.size(); ++i) {
        const auto& tenant = checked.tenants[i];
        const auto add = [&](severity level, entry_property property, std::size_t element,
                             std::string message) {
            out.push_back(
                {level, configuration_list::tenants, i, property, element, std::move(message)});
        };
        if (!names.insert(tenant.name).second) {
            add(severity::error, entry_property::name, 0,
                fmt::format("a tenant before it is named '{}' too: only the limits of the first "
                            "are used",
                            tenant.name));
        }
        if (tenant.keys.empty()) {
            add(severity::warning, entry_property::keys, 0,
                fmt::format("tenant '{}' has no key, so no call can be its own", tenant.name));
        }
        for (std::size_t k = 0; k < tenant.keys.size(); ++k) {
            const auto [holder, added] = holders.emplace(tenant.keys[k], tenant.name);
            if (!added && holder->second != tenant.name) {
                add(severity::error, entry_property::keys, k,
                    fmt::format("tenant '{}' has the same key, so its calls are refused",
                                holder->second));
            }
        }
        check_quota(tenant, i, out);
    }
}

} // namespace

std::vector<configuration_finding> check_configuration(const configuration& checked) {
    findings out;
    check_routes(checked, out);
    check_services(checked, out);
    check_tenants(checked, out);
    return out;
}

} // namespace dragonflystair::fleet
