#include "owner_table.h"

#include "dragonflystair/support/hash.h"
#include "dragonflystair/support/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace dragonflystair::node {

owner_table::owner_table(owner_services services, const config_table& config,
                         endpoint_directory& directory)
    : services_(std::move(services)), config_(config), directory_(directory) {}

bool owner_table::tick() {
    bool report_due = false;
    const auto now = node_context::now();
    const auto held = services_.members.held_by_self();
    retire_lost(held);
    for (const auto& endpoint : held) {
        const auto fence = services_.members.fence_if_held(endpoint, now);
        if (fence && endpoint != permit_broker::store_resource) {
            take_over(endpoint, *fence);
        }
    }
    for (const auto& endpoint : all()) {
        const auto row = directory_.find(endpoint->setup().id, now);
        // Entry nodes may receive the leaving state later than this node, so requests are accepted
        // for one more second.
        constexpr auto accept_period = leaving_grace + std::chrono::seconds{1};
        endpoint->set_leaving(!row || row->status.state == membership::endpoint_state::gone ||
                              row->leaving_for >= accept_period);
        endpoint->pump();
        if (endpoint->ready()) {
            auto load = endpoint->load();
            report_due = endpoint->report_due(load) || report_due;
            directory_.on_report(endpoint->setup().id, services_.context.incarnation,
                                 std::move(load), now);
        }
    }
    const std::lock_guard lock(mutex_);
    std::erase_if(retired_, [](const auto& endpoint) { return endpoint->running() == 0; });
    return report_due;
}

void owner_table::take_over(const std::string& endpoint, ledger::position fence) {
    const auto now = node_context::now();
    const auto row = directory_.find(endpoint, now);
    if (!row) {
        return;
    }
    const auto view = config_.view();
    const auto service = view->deployment.services.find(row->status.vm.service);
    if (service == view->deployment.services.end()) {
        return;
    }
    std::shared_ptr<owned_endpoint> created;
    {
        const std::lock_guard lock(mutex_);
        auto& slot = owned_[endpoint];
        // The id may belong to another VM than when this node took the endpoint over.
        if (slot && slot->setup().fence == fence &&
            slot->setup().address == row->status.vm.address) {
            return;
        }
        if (slot) {
            slot->retire();
            retired_.push_back(slot);
        }
        endpoint_setup setup{endpoint,       row->status.vm.address,
                             service->first, service->second.checks_fencing,
                             fence,          std::chrono::milliseconds{250}};
        slot = std::make_shared<owned_endpoint>(services_, std::move(setup));
        created = slot;
    }
    support::log_change("endpoint_owned",
                        {{"endpoint", endpoint}, {"fence", fmt::format("{}", fence)}});
    created->start();
}

void owner_table::retire_lost(const std::vector<std::string>& held) {
    std::vector<std::shared_ptr<owned_endpoint>> lost;
    {
        const std::lock_guard lock(mutex_);
        for (auto at = owned_.begin(); at != owned_.end();) {
            if (std::ranges::find(held, at->first) != held.end()) {
                ++at;
                continue;
            }
            lost.push_back(at->second);
            retired_.push_back(at->second);
            at = owned_.erase(at);
        }
    }
    for (const auto& endpoint : lost) {
        support::log_change("endpoint_given_up", {{"endpoint", endpoint->setup().id}});
        endpoint->retire();
    }
}

std::shared_ptr<owned_endpoint> owner_table::find(std::string_view endpoint) const {
    const std::lock_guard lock(mutex_);
    const auto found = owned_.find(endpoint);
    return found == owned_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<owned_endpoint>> owner_table::all() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<owned_endpoint>> result;
    result.reserve(owned_.size());
    for (const auto& [id, endpoint] : owned_) {
        result.push_back(endpoint);
    }
    return result;
}

void owner_table::cancel(const std::string& attempt) {
    std::vector<std::shared_ptr<owned_endpoint>> endpoints = all();
    {
        const std::lock_guard lock(mutex_);
        endpoints.insert(endpoints.end(), retired_.begin(), retired_.end());
    }
    for (const auto& endpoint : endpoints) {
        endpoint->cancel(attempt);
    }
}

std::size_t owner_table::running() const {
    std::size_t count = 0;
    const std::lock_guard lock(mutex_);
    for (const auto& [id, endpoint] : owned_) {
        count += endpoint->running();
    }
    for (const auto& endpoint : retired_) {
        count += endpoint->running();
    }
    return count;
}

void owner_table::warm_replacements() {
    const auto now = node_context::now();
    const auto rows = directory_.all(now);
    for (const auto& from : rows) {
        if (from.status.state != membership::endpoint_state::leaving || !from.load) {
            continue;
        }
        std::vector<std::string> staying;
        for (const auto& row : rows) {
            if (row.status.vm.service == from.status.vm.service &&
                row.status.state == membership::endpoint_state::live) {
                staying.push_back(row.status.vm.id);
            }
        }
        for (const auto& adapter : from.load->resident) {
            const auto order = support::rendezvous_order(adapter, staying);
            const auto target = order.empty() ? nullptr : find(order.front());
            if (target) {
                target->prefetch(adapter, 0.1);
            }
        }
    }
}

} // namespace dragonflystair::node
