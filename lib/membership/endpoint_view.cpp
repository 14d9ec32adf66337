#include "dragonflystair/membership/endpoint_view.h"

#include <algorithm>

namespace dragonflystair::membership {

void endpoint_view::update_list(std::span<const listed_vm> vms, support::time_point now) {
    std::set<std::string, std::less<>> listed;
    for (const auto& vm : vms) {
        listed.insert(vm.id);
        list(vm, now);
    }
    for (auto& [id, item] : entries_) {
        if (!item.gone_since && !listed.contains(id)) {
            item.gone_since = now;
        }
    }
    std::erase_if(entries_, [&](const auto& item) {
        const auto& gone = item.second.gone_since;
        return gone && now - *gone >= forget_gone_after;
    });
}

void endpoint_view::list(const listed_vm& vm, support::time_point now) {
    const auto found = entries_.find(vm.id);
    if (found == entries_.end()) {
        entries_[vm.id] = {vm, now, vm.leaving, false, std::nullopt};
        return;
    }
    auto& item = found->second;
    if (item.gone_since) {
        item = {vm, now, vm.leaving, item.leaving || item.replaced, std::nullopt};
        return;
    }
    item.vm = vm;
    item.leaving = item.leaving || vm.leaving;
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
    auto items = all(now);
    std::erase_if(items, [&](const auto& item) { return item.vm.service != service; });
    return items;
}

std::vector<endpoint_status> endpoint_view::all(support::time_point now) const {
    std::vector<endpoint_status> items;
    for (const auto& [id, item] : entries_) {
        if (!item.gone_since) {
            items.push_back(status_of(item, now));
        }
    }
    return items;
}

std::vector<std::string> endpoint_view::leaving() const {
    std::vector<std::string> ids;
    for (const auto& [id, item] : entries_) {
        if (item.leaving && !item.gone_since) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool endpoint_view::leaving_by_text(const listed_vm& vm) const {
    if (data_centres_by_service_.empty()) {
        return false;
    }
    const auto service = data_centres_by_service_.find(vm.service);
    return service == data_centres_by_service_.end() || !service->second.contains(vm.data_centre);
}

endpoint_status endpoint_view::status_of(const entry& item, support::time_point now) const {
    endpoint_status status{item.vm, {}, endpoint_state::live};
    const auto region = region_by_data_centre_.find(item.vm.data_centre);
    if (region != region_by_data_centre_.end()) {
        status.region = region->second;
    }
    if (item.gone_since) {
        status.state = endpoint_state::gone;
        return status;
    }
    if (item.leaving || leaving_by_text(item.vm)) {
        status.state = endpoint_state::leaving;
        return status;
    }
    if (now - item.last_heartbeat >= suspect_after) {
        status.state = endpoint_state::suspected;
    }
    return status;
}

} // namespace dragonflystair::membership
