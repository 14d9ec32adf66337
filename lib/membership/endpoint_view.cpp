#include "dragonflystair/membership/endpoint_view.h"

#include <algorithm>

namespace dragonflystair::membership {

std::vector<std::string> endpoint_view::update_list(std::span<const listed_vm> vms,
                                                    support::time_point now) {
    std::set<std::string, std::less<>> listed;
    std::vector<std::string> replaced;
    for (const auto& vm : vms) {
        listed.insert(vm.id);
        if (add_or_update(vm, now)) {
            replaced.push_back(vm.id);
        }
    }
    for (auto& [id, entry] : entries_) {
        if (!entry.gone_since && !listed.contains(id)) {
            entry.gone_since = now;
        }
    }
    std::erase_if(entries_, [&](const auto& entry) {
        const auto& gone = entry.second.gone_since;
        return gone && now - *gone >= gone_retention;
    });
    return replaced;
}

/// Returns whether the VM is another one than its id belonged to before.
bool endpoint_view::add_or_update(const listed_vm& vm, support::time_point now) {
    const auto found = entries_.find(vm.id);
    if (found == entries_.end()) {
        entries_[vm.id] = {vm, now, vm.leaving, false, std::nullopt};
        return false;
    }
    auto& entry = found->second;
    // A VM may be replaced between two reads of the list, which then never lacks its id.
    if (entry.gone_since || entry.vm.address != vm.address) {
        entry = {vm, now, vm.leaving, entry.leaving || entry.replaced, std::nullopt};
        return true;
    }
    entry.vm = vm;
    entry.leaving = entry.leaving || vm.leaving;
    return false;
}

void endpoint_view::update_deployment(
    std::map<std::string, std::set<std::string>> data_centres_by_service,
    std::map<std::string, std::string> region_by_data_centre) {
    data_centres_by_service_ = std::move(data_centres_by_service);
    region_by_data_centre_ = std::move(region_by_data_centre);
}

void endpoint_view::on_peer_reported_leaving(std::string_view id) {
    const auto found = entries_.find(id);
    if (found != entries_.end() && !found->second.gone_since && !found->second.replaced) {
        found->second.leaving = true;
    }
}

void endpoint_view::on_heartbeat(std::string_view id, support::time_point now) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second.last_heartbeat = std::max(found->second.last_heartbeat, now);
    }
}

std::optional<endpoint_status> endpoint_view::find(std::string_view id,
                                                   support::time_point now) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional{status_of(found->second, now)};
}

std::vector<endpoint_status> endpoint_view::of_service(std::string_view service,
                                                       support::time_point now) const {
    auto endpoints = all(now);
    std::erase_if(endpoints, [&](const auto& entry) { return entry.vm.service != service; });
    return endpoints;
}

std::vector<endpoint_status> endpoint_view::all(support::time_point now) const {
    std::vector<endpoint_status> endpoints;
    for (const auto& [id, entry] : entries_) {
        if (!entry.gone_since) {
            endpoints.push_back(status_of(entry, now));
        }
    }
    return endpoints;
}

std::vector<std::string> endpoint_view::leaving() const {
    std::vector<std::string> ids;
    for (const auto& [id, entry] : entries_) {
        if (entry.leaving && !entry.gone_since) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool endpoint_view::leaving_by_deployment(const listed_vm& vm) const {
    if (data_centres_by_service_.empty()) {
        return false;
    }
    const auto service = data_centres_by_service_.find(vm.service);
    return service == data_centres_by_service_.end() || !service->second.contains(vm.data_centre);
}

endpoint_status endpoint_view::status_of(const endpoint_entry& entry,
                                         support::time_point now) const {
    endpoint_status status{entry.vm, {}, endpoint_state::live};
    const auto region = region_by_data_centre_.find(entry.vm.data_centre);
    if (region != region_by_data_centre_.end()) {
        status.region = region->second;
    }
    if (entry.gone_since) {
        status.state = endpoint_state::gone;
        return status;
    }
    if (entry.leaving || leaving_by_deployment(entry.vm)) {
        status.state = endpoint_state::leaving;
        return status;
    }
    if (now - entry.last_heartbeat >= suspicion_timeout) {
        status.state = endpoint_state::suspected;
    }
    return status;
}

} // namespace dragonflystair::membership
