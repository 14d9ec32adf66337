#include "dragonflystair/fleet/configuration_difference.h"

#include "dragonflystair/support/entry_difference.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace dragonflystair::fleet {

using support::described_entry;

namespace {

std::string_view to_text(bool value) {
    return value ? "yes" : "no";
}

std::string_view to_text(call_kind kind) {
    switch (kind) {
    case call_kind::safe:
        return "safe";
    case call_kind::unsafe:
        return "unsafe";
    default:
        return "stream";
    }
}

std::string to_text(std::chrono::milliseconds value) {
    return fmt::format("{} ms", value.count());
}

std::string number(double value) {
    return fmt::format("{}", value);
}

std::string number(std::size_t value) {
    return fmt::format("{}", value);
}

/// Adds the host and path to the name of a route if other routes have the same name or it has none.
std::string route_label(const route& described, const configuration& whole) {
    const bool unique = !described.name.empty() &&
                        std::ranges::count(whole.routes, described.name, &route::name) == 1;
    return unique ? fmt::format("route '{}'", described.name)
                  : fmt::format("route '{}' ({}{})", described.name, described.host,
                                described.path_prefix);
}

described_entry describe(const route& described, const configuration& whole) {
    std::vector<std::string> targets;
    targets.reserve(described.services.size());
    for (const auto& target : described.services) {
        targets.push_back(fmt::format("{} (weight {})", target.service, target.weight));
    }
    return {route_label(described, whole),
            {{"host", described.host},
             {"path", described.path_prefix},
             {"kind", std::string(to_text(described.kind))},
             {"services", fmt::format("{}", fmt::join(targets, ", "))},
             {"deadline", to_text(described.timeout)},
             {"objective", to_text(described.objective)},
             {"longest pause", to_text(described.max_event_gap)},
             {"attempts", number(described.attempts)},
             {"priority", fmt::format("{}", described.priority)},
             {"resumable", std::string(to_text(described.resumable))},
             {"calls without a key", std::string(to_text(described.anonymous))}}};
}

described_entry describe(const service& described) {
    const auto& engines = described.engines;
    std::vector<std::string> models;
    models.reserve(engines.models.size());
    for (const auto& model : engines.models) {
        models.push_back(fmt::format("{} ({} MB, adapters of {} MB, loaded in {})", model.name,
                                     model.weights_mb, model.adapter_mb, to_text(model.load_time)));
    }
    return {fmt::format("service '{}'", described.name),
            {{"connections", number(described.max_connections)},
             {"engines", std::string(to_text(described.has_engines))},
             {"slots", number(engines.batch_slots)},
             {"cache tokens", number(engines.cache_tokens)},
             {"memory in MB", number(engines.weights_mb)},
             {"adapter slots", number(engines.adapter_slots)},
             {"models", fmt::format("{}", fmt::join(models, ", "))}}};
}

described_entry describe(const tenant& described) {
    auto keys = described.keys;
    std::ranges::sort(keys);
    return {fmt::format("tenant '{}'", described.name),
            {{"number of keys", number(described.keys.size())},
             {"keys", fmt::format("{}", fmt::join(keys, "\n")), true},
             {"priority", described.priority ? fmt::format("{}", *described.priority) : ""},
             {"unit", described.unit == quota_unit::tokens ? "tokens" : "requests"},
             {"tokens of a plain call", number(described.plain_call_tokens)},
             {"rate per second", number(described.rate_per_s)},
             {"burst", number(described.burst)}}};
}

described_entry describe_limits(const configuration& described) {
    const auto& limits = described.limits;
    return {"limits of callers",
            {{"header bytes", number(limits.header_bytes)},
             {"body bytes", number(limits.body_bytes)},
             {"header timeout", to_text(limits.header_timeout)},
             {"idle timeout", to_text(limits.idle_timeout)},
             {"keys required", std::string(to_text(described.has_tenants))}}};
}

std::vector<described_entry> describe(const configuration& described) {
    std::vector<described_entry> entries;
    entries.reserve(described.services.size() + described.routes.size() + described.tenants.size() +
                    1);
    for (const auto& [name, service] : described.services) {
        entries.push_back(describe(service));
    }
    for (const auto& route : described.routes) {
        entries.push_back(describe(route, described));
    }
    for (const auto& tenant : described.tenants) {
        entries.push_back(describe(tenant));
    }
    entries.push_back(describe_limits(described));
    return entries;
}

} // namespace

std::vector<std::string> differences(const configuration& from, const configuration& to) {
    return support::differences(describe(from), describe(to));
}

} // namespace dragonflystair::fleet
