#include "endpoint_directory.h"

#include <utility>

namespace dragonflystair::node {

bool endpoint_row::in_leaving_grace() const {
    return status.state == membership::endpoint_state::leaving && leaving_for < leaving_grace;
}

void endpoint_directory::update_list(std::span<const membership::listed_vm> vms,
                                     support::time_point now) {
    const std::lock_guard lock(mutex_);
    for (const auto& id : view_.update_list(vms, now)) {
        // Neither the reports nor the samples are of the VM that has the id now.
        reports_.erase(id);
        health_.erase(id);
    }
    // Endpoints of plain services have no owner that reports their load. Their entry in the VM list
    // counts as a heartbeat, and failed calls lower their weight.
    for (const auto& vm : vms) {
        if (plain_services_.contains(vm.service)) {
            view_.on_heartbeat(vm.id, now);
        }
    }
    update_leaving_since(now);
}

void endpoint_directory::update_deployment(const config::deployment& deployment,
                                           support::time_point now) {
    std::map<std::string, std::set<std::string>> data_centres;
    for (const auto& [name, service] : deployment.services) {
        data_centres[name] = {service.data_centres.begin(), service.data_centres.end()};
    }
    const std::lock_guard lock(mutex_);
    plain_services_.clear();
    for (const auto& [name, service] : deployment.services) {
        if (service.kind == config::service_kind::plain) {
            plain_services_.insert(name);
        }
    }
    view_.update_deployment(std::move(data_centres), deployment.region_by_data_centre);
    update_leaving_since(now);
}

void endpoint_directory::on_report(const std::string& endpoint, const std::string& reporter,
                                   policy::endpoint_load load, support::time_point now) {
    const std::lock_guard lock(mutex_);
    view_.on_heartbeat(endpoint, now);
    reports_[endpoint] = {reporter, std::move(load), now, 0};
}

void endpoint_directory::on_peer_reported_leaving(const std::string& endpoint,
                                                  support::time_point now) {
    const std::lock_guard lock(mutex_);
    view_.on_peer_reported_leaving(endpoint);
    update_leaving_since(now);
}

void endpoint_directory::on_attempt_begin(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    ++in_flight_[endpoint];
    const auto found = reports_.find(endpoint);
    if (found != reports_.end()) {
        ++found->second.attempts_since_report;
    }
}

void endpoint_directory::on_attempt_end(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    auto& count = in_flight_[endpoint];
    count -= count > 0 ? 1 : 0;
    const auto found = reports_.find(endpoint);
    if (found != reports_.end() && found->second.attempts_since_report > 0) {
        --found->second.attempts_since_report;
    }
}

double endpoint_directory::relative_to_median(const std::string& service, double seconds) {
    // The estimate moves by a fixed fraction towards each sample, so it converges to the value with
    // as many samples above as below it. A few slow endpoints do not move this median.
    constexpr double step = 0.02;
    auto& median = median_seconds_.try_emplace(service, seconds).first->second;
    median *= seconds > median ? 1 + step : 1 - step;
    return seconds / median;
}

void endpoint_directory::on_latency(const std::string& endpoint, support::duration step,
                                    support::time_point now) {
    const std::lock_guard lock(mutex_);
    const auto status = view_.find(endpoint, now);
    const double seconds = std::chrono::duration<double>(step).count();
    if (status && seconds > 0) {
        health_.on_sample(endpoint, relative_to_median(status->vm.service, seconds), now);
    }
}

void endpoint_directory::on_failure(const std::string& endpoint, support::time_point now) {
    const std::lock_guard lock(mutex_);
    health_.on_failure(endpoint, now);
}

void endpoint_directory::update_leaving_since(support::time_point now) {
    std::map<std::string, support::time_point, std::less<>> leaving_since;
    for (const auto& status : view_.all(now)) {
        if (status.state != membership::endpoint_state::leaving) {
            continue;
        }
        const auto previous = leaving_since_.find(status.vm.id);
        leaving_since[status.vm.id] = previous == leaving_since_.end() ? now : previous->second;
    }
    leaving_since_ = std::move(leaving_since);
}

endpoint_row endpoint_directory::row_of(membership::endpoint_status status,
                                        support::time_point now) const {
    endpoint_row row;
    const auto& id = status.vm.id;
    row.health = health_.weight(id, now);
    const auto found = reports_.find(id);
    if (found != reports_.end() && now - found->second.received_at < report_lifetime) {
        row.reporter = found->second.reporter;
        row.load = found->second.load;
        row.own_in_flight = found->second.attempts_since_report;
    } else if (const auto count = in_flight_.find(id); count != in_flight_.end()) {
        row.own_in_flight = count->second;
    }
    if (const auto since = leaving_since_.find(id); since != leaving_since_.end()) {
        row.leaving_for = now - since->second;
    }
    row.status = std::move(status);
    return row;
}

std::vector<endpoint_row> endpoint_directory::of_service(std::string_view service,
                                                         support::time_point now) const {
    const std::lock_guard lock(mutex_);
    std::vector<endpoint_row> rows;
    for (auto& status : view_.of_service(service, now)) {
        rows.push_back(row_of(std::move(status), now));
    }
    return rows;
}

std::vector<endpoint_row> endpoint_directory::all(support::time_point now) const {
    const std::lock_guard lock(mutex_);
    std::vector<endpoint_row> rows;
    for (auto& status : view_.all(now)) {
        rows.push_back(row_of(std::move(status), now));
    }
    return rows;
}

std::optional<endpoint_row> endpoint_directory::find(std::string_view endpoint,
                                                     support::time_point now) const {
    const std::lock_guard lock(mutex_);
    auto status = view_.find(endpoint, now);
    if (!status) {
        return std::nullopt;
    }
    return row_of(std::move(*status), now);
}

std::vector<std::string> endpoint_directory::leaving() const {
    const std::lock_guard lock(mutex_);
    return view_.leaving();
}

std::vector<membership::ownable_resource>
endpoint_directory::ownables(const config::deployment& deployment, support::time_point now) const {
    std::vector<membership::endpoint_status> statuses;
    {
        const std::lock_guard lock(mutex_);
        statuses = view_.all(now);
    }
    std::vector<membership::ownable_resource> result;
    for (auto& status : statuses) {
        const auto service = deployment.services.find(status.vm.service);
        if (service == deployment.services.end() ||
            service->second.kind != config::service_kind::model) {
            continue;
        }
        result.push_back(
            {std::move(status.vm.id), std::move(status.region), std::move(status.vm.data_centre)});
    }
    return result;
}

} // namespace dragonflystair::node
