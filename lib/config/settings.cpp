#include "dragonflystair/config/settings.h"

#include "dragonflystair/config/address.h"

#include "caller_limits_section.h"
#include "section_table.h"
#include "values.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace dragonflystair::config {
namespace {

/// Upper bound that rejects typing errors: the VMs that run nodes are small.
constexpr std::size_t max_threads = 256;

/// Reads an address that is advertised to other processes, so it must name one host. Port 0
/// requests a free port from the operating system.
std::string advertised_address(section_reader& reader, std::string_view key) {
    auto address = reader.address(key, port_zero::allowed);
    if (address.starts_with("0.0.0.0:") || address.starts_with("[::]:")) {
        reader.report(reader.find(key)->line,
                      fmt::format("{} = '{}' is not an address that other processes can connect to",
                                  key, address));
    }
    return address;
}

void read_node(section_reader& reader, settings& values) {
    values.name = reader.name("name");
    values.data_centre = reader.name("data_centre");
    values.region = reader.name("region");
    values.caller_address = advertised_address(reader, "caller_address");
    values.peer_address = advertised_address(reader, "peer_address");
    values.operator_address = reader.address("operator_address", port_zero::allowed);
    std::size_t threads = values.threads;
    reader.count("threads", max_threads, threads);
    values.threads = static_cast<unsigned>(threads);
}

void read_peers(section_reader& reader, settings& values) {
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

void read_platform(section_reader& reader, settings& values) {
    values.log_address = reader.address("log");
    values.vm_list_address = reader.address("vm_list");
}

void read_secrets(section_reader& reader, settings& values) {
    values.operator_token = reader.text("operator_token");
    values.peer_secret = reader.text("peer_secret");
}

void read_timing(section_reader& reader, settings& values) {
    reader.duration("lease", values.lease);
    reader.duration("lease_margin", values.lease_margin);
    reader.duration("renewal_period", values.renewal_period);
    reader.duration("answer_lifetime", values.answer_lifetime);
    reader.duration("progress_timeout", values.progress_timeout);
    reader.duration("drain_timeout", values.drain_timeout);
    if (values.renewal_period >= values.lease) {
        reader.report(reader.section().line, "renewal_period is not shorter than lease, so the "
                                             "lease would expire between two renewals");
    }
}

void read_limits(section_reader& reader, settings& values) {
    read_caller_limits(reader, values.callers);
}

constexpr std::array<section_kind<settings>, 6> kinds{{{"node", true, read_node},
                                                       {"peers", false, read_peers},
                                                       {"platform", true, read_platform},
                                                       {"secrets", true, read_secrets},
                                                       {"timing", false, read_timing},
                                                       {"limits", false, read_limits}}};

} // namespace

bool has_settings(std::string_view text) {
    return has_section(text, kinds);
}

settings_result parse_settings(std::string_view text, std::string_view file) {
    settings_result result;
    result.values = read_sections(text, file, kinds, result.findings);
    return result;
}

} // namespace dragonflystair::config
