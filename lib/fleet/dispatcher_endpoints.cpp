#include "dispatcher_impl.h"

#include <algorithm>
#include <string>

namespace dragonflystair::fleet {

void dispatcher::update(const endpoint_record& record) {
    impl_->changed = true;
    auto& target = impl_->endpoints[record.id];
    const bool restarted =
        target.record.started_ms != record.started_ms || target.record.address != record.address;
    if (restarted) {
        target.adapters.clear();
        target.models.clear();
        target.prompts.clear();
        target.suspended_until = {};
        target.paused_until.reset();
        impl_->speeds.forget(record.id);
        impl_->health.erase(record.id);
    }
    const auto known_orders = restarted ? 0 : target.record.orders_accepted;
    target.out_of_service = record.draining;
    target.record = record;
    impl_->member_index.clear();
    if (record.orders_accepted < known_orders) {
        // Records may be written late and in any order.
        target.record.orders_accepted = known_orders;
        return;
    }
    target.models.clear();
    for (const auto& model : record.models) {
        target.models.insert(model.name);
        for (const auto& adapter : model.adapters) {
            auto& entry = target.adapters[{model.name, adapter.name}];
            if (entry.state == residency::absent && restarted) {
                entry.state = residency::ready;
            }
            entry.version = std::max(entry.version, adapter.version);
        }
    }
}

void dispatcher::remove(std::string_view endpoint) {
    impl_->changed = true;
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    impl_->speeds.forget(endpoint);
    found->second.out_of_service = true;
    impl_->member_index.clear();
    if (found->second.own.calls == 0) {
        impl_->endpoints.erase(found);
    }
}

void dispatcher::suspend(std::string_view endpoint, time_point until) {
    if (const auto found = impl_->endpoints.find(endpoint); found != impl_->endpoints.end()) {
        found->second.suspended_until = std::max(found->second.suspended_until, until);
    }
}

void dispatcher::pause(std::string_view endpoint, time_point until) {
    impl_->changed = true;
    if (const auto found = impl_->endpoints.find(endpoint); found != impl_->endpoints.end()) {
        found->second.paused_until = until;
    }
}

time_point dispatcher::paused_until(std::string_view endpoint) const {
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() ? time_point{}
                                           : found->second.paused_until.value_or(time_point{});
}

void dispatcher::set_draining(std::string_view endpoint) {
    if (const auto found = impl_->endpoints.find(endpoint); found != impl_->endpoints.end()) {
        impl_->changed = true;
        impl_->member_index.clear();
        found->second.out_of_service = true;
        found->second.record.draining = true;
    }
}

void dispatcher::set_residency(std::string_view endpoint, const model_name& model, residency state,
                               std::uint64_t version) {
    // The end of a load ends the wait of calls that are past their queue deadline.
    if (state != residency::loading) {
        impl_->changed = impl_->changed || model.adapter.empty();
        impl_->changed_models.insert(model);
    }
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    if (model.adapter.empty()) {
        if (state == residency::ready) {
            found->second.models.insert(model.model);
        } else {
            found->second.models.erase(model.model);
        }
        return;
    }
    if (state == residency::absent) {
        if (found->second.adapters.erase(model) > 0) {
            impl_->last_holders.insert_or_assign(model, std::string(endpoint));
        }
        return;
    }
    found->second.adapters[model] = {state, version};
}

void dispatcher::require_version(const model_name& model, std::uint64_t version) {
    impl_->changed = true;
    auto& required = impl_->required[model];
    required = std::max(required, version);
}

void dispatcher::set_peer_load(std::string_view peer, std::string_view endpoint, endpoint_load load,
                               time_point now) {
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    found->second.peers_reported_at = now;
    auto& peers = found->second.peers;
    if (load.calls == 0) {
        if (const auto known = peers.find(peer); known != peers.end()) {
            peers.erase(known);
        }
        return;
    }
    peers.insert_or_assign(std::string(peer), peer_load{load, now});
    impl_->loads_changed = true;
}

void dispatcher::remove_peer(std::string_view peer) {
    impl_->changed = true;
    for (auto& [id, target] : impl_->endpoints) {
        if (const auto known = target.peers.find(peer); known != target.peers.end()) {
            target.peers.erase(known);
        }
    }
}

void dispatcher::set_loads_possible(bool possible) {
    impl_->changed = impl_->changed || impl_->loads_possible != possible;
    impl_->loads_possible = possible;
}

} // namespace dragonflystair::fleet
