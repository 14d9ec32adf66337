#pragma once

#include "dragonflystair/net/http_message.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include "guarantee_checker.h"
#include "quota_window.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::soak {

/// Gives callers keys, some of them invalid, and checks what gateways make of them: which calls
/// reach endpoints and under which name, which are answered 401, how much of a quota reaches
/// endpoints, and how tenants share what is served. Thread-safe.
class tenant_checker {
public:
    /// Number of tenants; the first ones have no quota.
    static constexpr std::size_t tenants = 5;
    static constexpr std::size_t unlimited_tenants = 3;
    /// Memory of a gateway's machine; the smallest machines have as much.
    static constexpr std::size_t memory_mb = 120;

    tenant_checker(guarantee_checker& checked, std::uint64_t seed);

    /// Returns the member `tenants` of a configuration.
    [[nodiscard]] support::json configuration() const;
    /// Returns the lines of the section `limits` in the settings; `draw` chooses those that change
    /// while a process runs.
    [[nodiscard]] std::string setting_lines(std::size_t draw) const;
    /// Revokes a key of a tenant and issues another one. `publish` writes the configuration and
    /// returns when it is acknowledged.
    void replace_key(std::size_t tenant, const std::function<void()>& publish);

    /// Adds a key, or none, and maybe a false tenant name to a call that is about to be sent.
    void prepare(net::http_request& request, const std::string& id, std::size_t tenant,
                 std::uint64_t draw);
    /// Checks a request that has reached an endpoint; `runs` tells whether the endpoint runs it.
    void note_arrival(const net::http_request& request, bool runs);
    void note_status(const std::string& id, int status);
    /// Records that this process was late by `delay`, so that it sees calls together that gateways
    /// sent apart.
    void note_stall(support::duration delay);

    /// Number of calls with lasting keys and within quotas that were served without one that was
    /// not in between.
    [[nodiscard]] std::size_t served_in_a_row() const;
    /// Counts from now on how each tenant is served.
    void begin_shares();
    /// Returns the smallest number of calls that ended since `begin_shares`, over all tenants
    /// without a quota.
    [[nodiscard]] std::size_t least_calls() const;
    /// Reports each tenant that was served less than half of its share.
    void check_shares();
    /// Number of calls without a valid key that were answered 401.
    [[nodiscard]] std::size_t unknown_keys_refused() const;
    /// Returns a key of the tenant that is never revoked.
    [[nodiscard]] static std::string lasting_key(std::size_t tenant);
    /// The text with which all keys begin; it must appear in no log.
    static constexpr std::string_view key_prefix = "soak-key-";
    [[nodiscard]] std::string summary() const;

private:
    /// A key that was issued, with the time at which its revocation was acknowledged.
    struct issued_key {
        std::size_t tenant = 0;
        bool lasting = false;
        std::optional<support::time_point> revoked_at;
    };
    struct call {
        std::size_t tenant = 0;
        std::string key; ///< Empty if the call has none.
        support::time_point sent;
        double cost = 0;
        bool has_run = false;
        bool in_shares = false;
    };
    struct share {
        std::size_t ended = 0;
        std::size_t served = 0;
    };

    void report(const std::string& id, const call& item, std::string_view text);
    std::string issue_locked(std::size_t tenant);
    std::string choose_key_locked(std::size_t tenant, std::uint64_t draw) const;
    [[nodiscard]] bool must_be_refused(const call& item) const;
    void count_share(const call& item, int status);

    guarantee_checker& checked_;
    std::uint64_t seed_;
    std::chrono::milliseconds revocation_timeout_;
    mutable std::mutex mutex_;
    std::map<std::string, issued_key> keys_;
    std::vector<std::string> current_; ///< The replaceable key by tenant.
    std::string last_revoked_;
    std::map<std::string, call> calls_;
    std::vector<quota_window> windows_; ///< Of the tenants with a quota.
    std::vector<share> shares_;
    bool counts_shares_ = false;
    std::size_t served_in_a_row_ = 0;
    std::size_t unknown_keys_refused_ = 0;
    std::size_t revoked_keys_refused_ = 0;
};

} // namespace dragonflystair::soak
