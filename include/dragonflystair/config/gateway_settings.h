#pragma once

#include "dragonflystair/config/caller_limits.h"
#include "dragonflystair/support/finding.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// Who chooses the endpoints of calls for plain services.
enum class plain_placement {
    node, ///< Each node, by its own calls and the loads that peers of its data centre reported.
    lead, ///< The lead of a data centre, as for engines.
};

/// Settings of a gateway: a node that runs on the platform of the users. Addresses are `IP:PORT`.
struct gateway_settings {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string caller_address;
    std::string ready_address;   ///< Address for the readiness probe of the platform.
    std::string resolve_address; ///< Address at which callers look up the address to use.
    std::string peer_address;
    std::string metrics_address;
    std::vector<std::string> peers; ///< Seed addresses of peers; some may be stale.
    std::string store_address;
    std::string peer_secret;
    std::map<std::string, std::string, std::less<>> data_centres; ///< Region by data centre.
    double cores = 1;         ///< Share of the VM's cores that the process may use.
    double retry_ratio = 0.2; ///< Retry budget as a ratio of the calls within `retry_window`.
    double retry_slack = 50;  ///< Retries allowed on top of the ratio, for all nodes together.
    std::chrono::milliseconds retry_window{10'000};
    /// A new lease holder waits this long before its first command.
    std::chrono::milliseconds lease{3'000};
    /// Whether the engines reject commands with a stale fencing number, so that a new lease holder
    /// need not wait for `lease`.
    bool engines_check_fencing = false;
    std::chrono::milliseconds shutdown_timeout{8'000};
    /// Time within which a revoked key stops to be accepted, also on nodes that have lost touch
    /// with the store; empty if such nodes may go on accepting it.
    std::optional<std::chrono::milliseconds> revocation_timeout;
    /// Use of a quota by all nodes together: in any `quota_window`, at most (rate x window + burst)
    /// x (1 + `quota_overrun`), and `quota_slack` more if the quota is in tokens.
    std::chrono::milliseconds quota_window{8'000};
    double quota_overrun = 0.1;
    double quota_slack = 72'000;
    std::chrono::milliseconds resolve_lifetime{1'000};
    caller_limits callers;
    plain_placement plain_calls = plain_placement::node;
    bool learned_speed = false;   ///< Whether the speed of each endpoint is learned.
    bool balanced_choice = false; ///< Whether a node chooses at random between similar endpoints.

    bool operator==(const gateway_settings&) const = default;
};

/// Settings and all findings; the settings are usable only if there are none.
struct gateway_settings_result {
    gateway_settings values;
    support::findings findings;
};

/// Returns whether a text contains the section `[gateway]` of gateway settings.
bool has_gateway_settings(std::string_view text);

/// Parses settings from INI text. `file` is the file name in findings.
gateway_settings_result parse_gateway_settings(std::string_view text, std::string_view file);

} // namespace dragonflystair::config
