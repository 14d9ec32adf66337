#pragma once

#include "dragonflystair/support/finding.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// Settings of a gateway: a node that runs on the users' platform. Addresses are `IP:PORT`.
struct gateway_settings {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string caller_address;
    std::string ready_address;   ///< Where the platform asks whether this node takes callers.
    std::string resolve_address; ///< Where callers ask which address to use.
    std::string peer_address;
    std::string metrics_address;
    std::vector<std::string> peers; ///< Peer addresses to begin with; some may be stale.
    std::string store_address;
    std::string peer_secret;
    std::map<std::string, std::string, std::less<>> data_centres; ///< Region of each.
    double cores = 1; ///< Share of processors that this VM gives the process.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    std::chrono::milliseconds retry_window{10'000};
    std::chrono::milliseconds lease{3'000}; ///< Orders of two holders are this far apart.
    bool engines_check_fencing = false;     ///< Then a new holder need not wait that long.
    std::chrono::milliseconds shutdown_timeout{8'000};
    std::chrono::milliseconds resolve_lifetime{1'000};

    bool operator==(const gateway_settings&) const = default;
};

struct gateway_settings_result {
    gateway_settings values;
    support::findings findings;
};

/// Whether a text has a section of gateway settings.
bool has_gateway_settings(std::string_view text);

/// Reads settings from INI text; `file` names the place in findings.
gateway_settings_result parse_gateway_settings(std::string_view text, std::string_view file);

} // namespace dragonflystair::config
