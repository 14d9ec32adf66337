#pragma once

#include "dragonflystair/config/caller_limits.h"
#include "dragonflystair/support/finding.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// Settings of one node, read from its INI file. Addresses are `IP:PORT`; port 0 in an address of
/// the node itself requests a free port from the operating system.
struct settings {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string caller_address;
    std::string peer_address;
    std::string operator_address;
    unsigned threads = 2;
    std::vector<std::string> peers;
    std::string log_address;
    std::string vm_list_address;
    std::string operator_token;
    std::string peer_secret;
    std::chrono::milliseconds lease{10'000};
    std::chrono::milliseconds lease_margin{2'000};
    std::chrono::milliseconds renewal_period{2'000};
    std::chrono::milliseconds answer_lifetime{30'000};
    std::chrono::milliseconds progress_timeout{5'000};
    std::chrono::milliseconds drain_timeout{600'000};
    caller_limits callers;
};

/// Settings and all findings; the settings are usable only if there are none.
struct settings_result {
    settings values;
    support::findings findings;
};

/// Returns whether a text contains a section of node settings, which distinguishes it from the text
/// of a deployment.
bool has_settings(std::string_view text);

/// Parses settings from INI text. `file` is the file name in findings.
settings_result parse_settings(std::string_view text, std::string_view file);

} // namespace dragonflystair::config
