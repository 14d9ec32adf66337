#include "tenant_checker.h"

#include "platform/names.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace dragonflystair::soak {

using support::boot_clock;
using support::json;

namespace {

constexpr std::array<std::string_view, tenant_checker::tenants> names{"amber", "birch", "cedar",
                                                                      "dune", "elm"};
/// Limits below what the callers of a tenant send, so that they take effect.
constexpr double requests_per_s = 5;
constexpr double tokens_per_s = 800;
constexpr double token_slack = 4'000;
constexpr double stream_tokens = 260; ///< The sum of the header that callers send.
constexpr int plain_tokens = 40;
constexpr std::size_t requests_tenant = 3;

/// Two settings of customers.
constexpr std::array<std::chrono::milliseconds, 2> revocation_timeouts{
    std::chrono::milliseconds{3'000}, std::chrono::milliseconds{5'000}};

/// Of 100 calls so many have a key that stays valid, the key that is replaced next, an unknown one
/// and none; the rest have the key that was revoked last.
constexpr std::uint64_t draws = 100;
constexpr std::uint64_t lasting_draws = 80;
constexpr std::uint64_t current_draws = 88;
constexpr std::uint64_t unknown_draws = 91;
constexpr std::uint64_t missing_draws = 94;
/// One call in as many names a tenant itself.
constexpr std::uint64_t false_name_ratio = 8;

constexpr int unknown_key_status = 401;
/// Calls after which a share is no longer a matter of chance.
constexpr std::size_t min_share_calls = 20;

bool promises_no_run(int status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

tenant_checker::tenant_checker(guarantee_checker& checked, std::uint64_t seed)
    : checked_(checked), seed_(seed),
      revocation_timeout_(revocation_timeouts.at(seed % revocation_timeouts.size())) {
    for (std::size_t i = 0; i < tenants; ++i) {
        keys_[lasting_key(i)] = {i, true, {}};
        current_.push_back(issue_locked(i));
    }
    windows_.emplace_back(tenant_limit{requests_per_s, requests_per_s, 0});
    windows_.emplace_back(tenant_limit{tokens_per_s, tokens_per_s, token_slack});
    shares_.resize(tenants);
}

std::string tenant_checker::lasting_key(std::size_t tenant) {
    return fmt::format("{}{}-lasting", key_prefix, names.at(tenant));
}

std::string tenant_checker::issue_locked(std::size_t tenant) {
    auto key = fmt::format("{}{}-{}-{}", key_prefix, names.at(tenant), seed_, keys_.size());
    keys_[key] = {tenant, false, {}};
    return key;
}

json tenant_checker::configuration() const {
    const std::lock_guard lock(mutex_);
    auto out = json::array();
    for (std::size_t i = 0; i < tenants; ++i) {
        json item{{"name", names.at(i)}, {"api-keys", {lasting_key(i), current_.at(i)}}};
        if (i >= unlimited_tenants) {
            const auto rate = i == requests_tenant ? requests_per_s : tokens_per_s;
            item["unit"] = i == requests_tenant ? "requests" : "tokens";
            item.update({{"rate-per-s", rate}, {"burst", rate}, {"plain-tokens", plain_tokens}});
        }
        out.push_back(item);
    }
    return out;
}

std::string tenant_checker::setting_lines(std::size_t draw) const {
    return fmt::format("revocation_timeout = {}ms\nquota_slack = {}\nmemory_mb = {}\n"
                       "plain_calls = {}\nendpoint_speed = {}\nendpoint_choice = {}\n",
                       revocation_timeout_.count(), static_cast<int>(token_slack), memory_mb,
                       draw % 2 == 0 ? "node" : "lead", draw / 2 % 2 == 0 ? "service" : "learned",
                       draw / 4 % 2 == 0 ? "least_cost" : "balanced");
}

void tenant_checker::replace_key(std::size_t tenant, const std::function<void()>& publish) {
    std::string revoked;
    {
        const std::lock_guard lock(mutex_);
        revoked = std::exchange(current_.at(tenant), issue_locked(tenant));
    }
    publish();
    const std::lock_guard lock(mutex_);
    keys_[revoked].revoked_at = boot_clock::now();
    last_revoked_ = revoked;
}

std::string tenant_checker::choose_key_locked(std::size_t tenant, std::uint64_t draw) const {
    const auto choice = draw % draws;
    if (choice < lasting_draws) {
        return lasting_key(tenant);
    }
    if (choice < current_draws) {
        return current_.at(tenant);
    }
    if (choice >= unknown_draws && choice < missing_draws) {
        return {};
    }
    const bool unknown = choice < unknown_draws || last_revoked_.empty();
    return unknown ? fmt::format("{}unknown-{}", key_prefix, draw) : last_revoked_;
}

void tenant_checker::prepare(net::http_request& request, const std::string& id, std::size_t tenant,
                             std::uint64_t draw) {
    const std::lock_guard lock(mutex_);
    call item;
    item.key = choose_key_locked(tenant, draw);
    const auto known = keys_.find(item.key);
    item.tenant = known == keys_.end() ? tenant : known->second.tenant;
    const bool stream = request.headers.contains(std::string(platform::tokens_header));
    item.cost = item.tenant == requests_tenant ? 1 : stream ? stream_tokens : plain_tokens;
    item.in_shares = counts_shares_;
    item.sent = boot_clock::now();
    if (!item.key.empty()) {
        request.headers[std::string(platform::key_header)] = item.key;
    }
    if (draw / draws % false_name_ratio == 0) {
        request.headers[std::string(platform::tenant_header)] = "false-name";
    }
    calls_.insert_or_assign(id, std::move(item));
}

/// Returns whether the call has no key that may still be valid anywhere.
bool tenant_checker::must_be_refused(const call& item) const {
    const auto known = keys_.find(item.key);
    if (known == keys_.end()) {
        return true;
    }
    const auto& revoked_at = known->second.revoked_at;
    return revoked_at && item.sent - *revoked_at > revocation_timeout_;
}

void tenant_checker::report(const std::string& id, const call& item, std::string_view text) {
    const auto known = keys_.find(item.key);
    std::string revoked;
    if (known != keys_.end() && known->second.revoked_at) {
        const auto age = item.sent - *known->second.revoked_at;
        revoked = fmt::format(", revoked {} ms before",
                              std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    }
    checked_.report_violation(fmt::format("{} of {} with key '{}'{} {}", id, names.at(item.tenant),
                                          item.key, revoked, text));
}

void tenant_checker::note_arrival(const net::http_request& request, bool runs) {
    const std::lock_guard lock(mutex_);
    const std::string id(net::header(request.headers, platform::request_id_header));
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return; // Reported by `guarantee_checker`.
    }
    auto& item = found->second;
    if (request.headers.contains(std::string(platform::key_header))) {
        report(id, item, "reached an endpoint with its key");
    }
    if (must_be_refused(item)) {
        report(id, item, "reached an endpoint");
    }
    const auto name = net::header(request.headers, platform::tenant_header);
    if (name != names.at(item.tenant)) {
        report(id, item, fmt::format("reached an endpoint as tenant '{}'", name));
    }
    // A call that is sent again, or resumed, takes no further part of the quota.
    if (item.tenant < unlimited_tenants || !runs || std::exchange(item.has_run, true)) {
        return;
    }
    auto& window = windows_.at(item.tenant - unlimited_tenants);
    if (const auto sum = window.add(item.cost, boot_clock::now())) {
        report(id, item,
               fmt::format("was within {} that reached endpoints in a window, bound {}", *sum,
                           window.bound()));
    }
}

void tenant_checker::note_status(const std::string& id, int status) {
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const auto& item = found->second;
    const auto known = keys_.find(item.key);
    if (status == unknown_key_status) {
        unknown_keys_refused_ += known == keys_.end() ? 1 : 0;
        revoked_keys_refused_ += known != keys_.end() && known->second.revoked_at ? 1 : 0;
        if (known != keys_.end() && known->second.lasting) {
            report(id, item, "was answered 401");
        }
    } else if (must_be_refused(item) && !promises_no_run(status)) {
        report(id, item, fmt::format("was answered {}", status));
    }
    count_share(item, status);
}

void tenant_checker::count_share(const call& item, int status) {
    constexpr int over_quota = 429;
    const auto known = keys_.find(item.key);
    const bool lasting = known != keys_.end() && known->second.lasting;
    if (!lasting || status == over_quota) {
        return;
    }
    served_in_a_row_ = status == 200 ? served_in_a_row_ + 1 : 0;
    if (counts_shares_ && item.in_shares) {
        auto& count = shares_.at(item.tenant);
        ++count.ended;
        count.served += status == 200 ? 1 : 0;
    }
}

void tenant_checker::note_stall(support::duration delay) {
    const std::lock_guard lock(mutex_);
    for (auto& item : windows_) {
        item.add_stall(delay, boot_clock::now());
    }
}

std::size_t tenant_checker::served_in_a_row() const {
    const std::lock_guard lock(mutex_);
    return served_in_a_row_;
}

void tenant_checker::begin_shares() {
    const std::lock_guard lock(mutex_);
    shares_.assign(tenants, {});
    counts_shares_ = true;
}

std::size_t tenant_checker::least_calls() const {
    const std::lock_guard lock(mutex_);
    const auto last = shares_.begin() + unlimited_tenants;
    return std::min_element(shares_.begin(), last,
                            [](const auto& a, const auto& b) { return a.ended < b.ended; })
        ->ended;
}

/// The share of a tenant is an equal part of what was served, or all of its calls if these are
/// fewer.
void tenant_checker::check_shares() {
    const std::lock_guard lock(mutex_);
    counts_shares_ = false;
    std::size_t served = 0;
    for (const auto& item : shares_) {
        served += item.served;
    }
    for (std::size_t i = 0; i < tenants; ++i) {
        const auto& item = shares_.at(i);
        const auto due = std::min(item.ended, served / tenants);
        if (item.ended >= min_share_calls && item.served * 2 < due) {
            checked_.report_violation(fmt::format("{} was served {} of {} calls, its share is {}",
                                                  names.at(i), item.served, item.ended, due));
        }
    }
}

std::size_t tenant_checker::unknown_keys_refused() const {
    const std::lock_guard lock(mutex_);
    return unknown_keys_refused_;
}

std::string tenant_checker::summary() const {
    const std::lock_guard lock(mutex_);
    auto out = fmt::format("401 for {} unknown and {} revoked keys; largest windows",
                           unknown_keys_refused_, revoked_keys_refused_);
    for (const auto& item : windows_) {
        out += fmt::format(" {} of {}", item.largest(), item.bound());
    }
    out += "; served of ended in the surge";
    for (const auto& item : shares_) {
        out += fmt::format(" {}/{}", item.served, item.ended);
    }
    return out;
}

} // namespace dragonflystair::soak
