#include "dragonflystair/config/gateway_settings.h"

#include "dragonflystair/config/address.h"

#include "caller_limits_section.h"
#include "section_table.h"
#include "values.h"

#include <utility>

namespace dragonflystair::config {
namespace {

void read_gateway(section_reader& reader, gateway_settings& values) {
    values.name = reader.name("name");
    values.data_centre = reader.name("data_centre");
    values.region = reader.name("region");
    values.caller_address = reader.address("caller_address", port_zero::allowed);
    values.ready_address = reader.address("ready_address", port_zero::allowed);
    values.resolve_address = reader.address("resolve_address", port_zero::allowed);
    values.peer_address = reader.address("peer_address", port_zero::allowed);
    values.metrics_address = reader.address("metrics_address", port_zero::allowed);
}

void read_peers(section_reader& reader, gateway_settings& values) {
    const auto* entry = reader.find("addresses");
    if (entry == nullptr) {
        return;
    }
    for (auto& address : split_list(entry->value)) {
        if (const auto error = address_error(address); !error.empty()) {
            reader.report(entry->line,
                          fmt::format("'{}' in addresses is not IP:PORT: {}", address, error));
            continue;
        }
        values.peers.push_back(std::move(address));
    }
}

void read_store(section_reader& reader, gateway_settings& values) {
    values.store_address = reader.address("store");
}

void read_secrets(section_reader& reader, gateway_settings& values) {
    values.peer_secret = reader.text("peer_secret");
}

/// Reads the section whose keys are data centres and whose values are their regions.
void read_data_centres(section_reader& reader, gateway_settings& values) {
    for (const auto& entry : reader.section().entries) {
        values.data_centres.insert_or_assign(entry.key, reader.name(entry.key));
    }
}

void read_limits(section_reader& reader, gateway_settings& values) {
    reader.number("cores", values.cores);
    reader.number("retry_ratio", values.retry_ratio);
    reader.number("retry_slack", values.retry_slack);
    reader.duration("retry_window", values.retry_window);
    reader.duration("lease", values.lease);
    values.engines_check_fencing =
        reader.choice("engines_check_fencing", {"true", "false"}) == "true";
    reader.duration("shutdown_timeout", values.shutdown_timeout);
    reader.duration("resolve_lifetime", values.resolve_lifetime);
    read_caller_limits(reader, values.callers);
    values.plain_calls = reader.choice("plain_calls", {"lead", "node"}) == "lead"
                             ? plain_placement::lead
                             : plain_placement::node;
    values.learned_speed = reader.choice("endpoint_speed", {"learned", "service"}) == "learned";
    values.balanced_choice =
        reader.choice("endpoint_choice", {"balanced", "least_cost"}) == "balanced";
    reader.duration("quota_window", values.quota_window);
    reader.number("quota_overrun", values.quota_overrun);
    reader.number("quota_slack", values.quota_slack);
    if (reader.find("revocation_timeout") != nullptr) {
        auto& timeout = values.revocation_timeout.emplace();
        reader.duration("revocation_timeout", timeout);
    }
}

constexpr std::array<section_kind<gateway_settings>, 6> kinds{
    {{"gateway", true, read_gateway},
     {"peers", false, read_peers},
     {"store", true, read_store},
     {"data_centres", true, read_data_centres},
     {"secrets", true, read_secrets},
     {"limits", false, read_limits}}};

} // namespace

bool has_gateway_settings(std::string_view text) {
    // The names of the other sections also occur in the settings of a node.
    support::findings ignored;
    const auto document = read_ini(text, {}, ignored);
    return std::ranges::find(document.sections, "gateway", &ini_section::name) !=
           document.sections.end();
}

gateway_settings_result parse_gateway_settings(std::string_view text, std::string_view file) {
    gateway_settings_result result;
    result.values = read_sections(text, file, kinds, result.findings);
    return result;
}

} // namespace dragonflystair::config
