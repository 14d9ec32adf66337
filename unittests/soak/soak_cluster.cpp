#include "soak_cluster.h"

#include "dragonflystair/support/json.h"

#include <fmt/format.h>

#include <csignal>
#include <utility>

namespace dragonflystair::soak {

using scenarios::relay_mode;
using support::json;

namespace {

constexpr double usual_retry_slack = 50;

json route(const std::string& name, const std::string& kind, const std::string& service) {
    return {{"name", name},    {"host", "desk"},     {"path-prefix", "/" + name + "/"},
            {"kind", kind},    {"service", service}, {"timeout-ms", 5'000},
            {"slo-ms", 1'000}, {"gap-aim-ms", 500},  {"attempts", 3}};
}

/// Time after a fault of its link to the store until a gateway knows all records again; specified
/// by the platform.
constexpr std::chrono::milliseconds stable_time{4'000};

/// Sets a link's mode and returns the function that restores normal forwarding.
std::function<void()> inject_link_fault(scenarios::tcp_relay& link, relay_mode mode) {
    link.set_mode(mode);
    return [&link] { link.set_mode(relay_mode::pass); };
}

std::function<void()> inject_failure(soak_endpoint& target, endpoint_failure failure) {
    target.set_failure(failure);
    return [&target] { target.set_failure(endpoint_failure::none); };
}

} // namespace

soak_cluster::soak_cluster(const net::executor& context, const std::string& program,
                           std::string folder, guarantee_checker& checked, bool one_data_centre)
    : folder_(std::move(folder)), checked_(checked), store_(context) {
    publish_configuration();
    add_endpoint(context, "register", "register-1", "north");
    add_endpoint(context, "register", "register-2", "south");
    add_endpoint(context, "assistant", "engine-1", "north");
    add_endpoint(context, "assistant", "engine-2", "north");
    add_endpoint(context, "assistant", "engine-3", "south");
    for (const auto* name : {"node-1", "node-2", "node-3", "node-4"}) {
        const bool north = one_data_centre || gateways_.size() < 2;
        gateways_.push_back(std::make_unique<soak_gateway>(
            program, folder_,
            soak_gateway::location{name, north ? "north" : "south", north ? "n" : "s"},
            store_.address()));
    }
    for (const auto& item : gateways_) {
        write_settings(*item, usual_retry_slack);
        item->start();
    }
}

soak_cluster::~soak_cluster() = default;

void soak_cluster::add_endpoint(const net::executor& context, const std::string& service,
                                const std::string& name, const std::string& data_centre) {
    linked_endpoint item;
    item.self =
        std::make_unique<soak_endpoint>(context, checked_, service, name, data_centre,
                                        [this](const std::string& id, const std::string& record) {
                                            store_.put("keyed.servers", id, record);
                                        });
    item.link = std::make_unique<scenarios::tcp_relay>(item.self->address());
    item.self->register_at(item.link->address());
    endpoints_.push_back(std::move(item));
}

void soak_cluster::write_settings(soak_gateway& item, double retry_slack) {
    std::vector<std::string> peers;
    peers.reserve(gateways_.size());
    for (const auto& other : gateways_) {
        peers.push_back(other->peer_address());
    }
    item.write_settings(peers, retry_slack);
}

/// Publishes a configuration with a higher version; each version replaces the route that the
/// previous one had added.
void soak_cluster::publish_configuration() {
    version_ += 3;
    auto routes =
        json::array({route("stamp", "unsafe", "register"), route("lookup", "safe", "register"),
                     route("draft", "stream", "assistant")});
    auto pattern = route("pattern", "stream", "assistant");
    pattern["resumable"] = true;
    routes.push_back(pattern);
    routes.push_back(route(fmt::format("added-{}", version_), "safe", "register"));
    const json engine{
        {"slots", soak_endpoint::slots},
        {"weights-mb", 100},
        {"adapter-slots", soak_endpoint::adapter_slots},
        {"models", json::array({{{"name", "base"}, {"weights-mb", 50}, {"adapter-mb", 1}}})}};
    const json text{{"version", version_},
                    {"routes", routes},
                    {"services", json::array({{{"name", "register"}},
                                              {{"name", "assistant"}, {"engine", engine}}})}};
    store_.put("keyed.op", "config", text.dump());
}

std::function<void()> soak_cluster::begin(const fault& item) {
    switch (item.kind) {
    case fault_kind::store_refuses:
    case fault_kind::store_loses_answers:
        store_.set_mode(item.kind == fault_kind::store_refuses ? gateway::store_mode::refuse
                                                               : gateway::store_mode::lose_answers);
        return [this] { store_.set_mode(gateway::store_mode::serve); };
    case fault_kind::change_configuration:
        publish_configuration();
        return [] {};
    case fault_kind::cut_endpoint_link:
    case fault_kind::silence_endpoint_link:
    case fault_kind::reset_endpoint_link:
    case fault_kind::delay_endpoint_link:
    case fault_kind::endpoint_fails:
    case fault_kind::endpoint_loses_answers:
    case fault_kind::endpoint_full:
    case fault_kind::replace_endpoint:
    case fault_kind::restart_endpoint:
    case fault_kind::endpoint_names_limit:
    case fault_kind::unlist_endpoint:
    case fault_kind::repeat_endpoint_answers:
        return begin_on_endpoint(item, endpoints_[item.target % endpoints_.size()]);
    default:
        return begin_on_gateway(item, *gateways_[item.target % gateways_.size()]);
    }
}

std::function<void()> soak_cluster::begin_on_endpoint(const fault& item, linked_endpoint& target) {
    switch (item.kind) {
    case fault_kind::cut_endpoint_link:
        return inject_link_fault(*target.link, relay_mode::cut);
    case fault_kind::silence_endpoint_link:
        return inject_link_fault(*target.link, relay_mode::silence_open);
    case fault_kind::reset_endpoint_link:
        return inject_link_fault(*target.link, relay_mode::reset_open);
    case fault_kind::delay_endpoint_link:
        return inject_link_fault(*target.link, relay_mode::delay);
    case fault_kind::repeat_endpoint_answers:
        return inject_link_fault(*target.link, relay_mode::repeat_answers);
    case fault_kind::endpoint_fails:
        return inject_failure(*target.self, endpoint_failure::fails);
    case fault_kind::endpoint_loses_answers:
        return inject_failure(*target.self, endpoint_failure::loses_answer);
    case fault_kind::endpoint_full:
        return inject_failure(*target.self, endpoint_failure::full);
    case fault_kind::endpoint_names_limit:
        target.self->name_limit(static_cast<double>(1 + item.target % 8));
        return [&target] { target.self->name_limit(std::nullopt); };
    case fault_kind::unlist_endpoint:
        target.self->unlist();
        return [&target] { target.self->restart(); };
    case fault_kind::replace_endpoint:
        target.self->announce_draining();
        return [&target] { target.self->restart(); };
    default:
        target.self->restart();
        return [] {};
    }
}

std::function<void()> soak_cluster::begin_on_gateway(const fault& item, soak_gateway& target) {
    switch (item.kind) {
    case fault_kind::kill_gateway:
        if (!target.started()) {
            return [] {};
        }
        target.kill();
        return [&target] { target.start(); };
    case fault_kind::stop_gateway:
        if (!target.started() || target.stopping()) {
            return [] {};
        }
        target.terminate();
        return [this, &target, number = target.starts()] {
            if (target.starts() == number) {
                reap(target);
                target.start();
            }
        };
    case fault_kind::suspend_gateway:
        if (!target.started()) {
            return [] {};
        }
        target.suspend();
        return [&target] {
            if (target.started()) {
                target.resume();
            }
        };
    case fault_kind::hang_up_gateway:
        write_settings(target, usual_retry_slack + static_cast<double>(item.target % 10));
        if (target.started()) {
            target.hang_up();
        }
        return [] {};
    case fault_kind::partition_store_link:
        return begin_on_store_link(target, relay_mode::silence_all);
    case fault_kind::cut_store_link:
        return begin_on_store_link(target, relay_mode::cut);
    case fault_kind::silence_store_link:
        return begin_on_store_link(target, relay_mode::silence_open);
    case fault_kind::silence_store_answers:
        return begin_on_store_link(target, relay_mode::silence_answers);
    case fault_kind::reset_store_link:
        return begin_on_store_link(target, relay_mode::reset_open);
    default:
        return begin_on_store_link(target, relay_mode::delay);
    }
}

/// Only the gateway itself is excused; its neighbours reach the store.
std::function<void()> soak_cluster::begin_on_store_link(soak_gateway& target, relay_mode mode) {
    checked_.excuse(target.caller_address(), support::time_point::max());
    ++store_link_faults_[&target];
    return [this, &target, heal = inject_link_fault(target.store_link(), mode)] {
        heal();
        if (--store_link_faults_[&target] == 0) {
            checked_.excuse(target.caller_address(), support::boot_clock::now() + stable_time);
        }
    };
}

/// Ends the gateway's process and reports a violation unless it exited with 0 or was killed by
/// SIGKILL; any other code means a crash.
void soak_cluster::reap(soak_gateway& item) {
    if (!item.started()) {
        return;
    }
    const int code = item.reap();
    if (code != 0 && code != 128 + SIGKILL) {
        checked_.report_violation(fmt::format("{} ended with exit code {}", item.name(), code));
    }
}

void soak_cluster::stop() {
    for (const auto& item : gateways_) {
        reap(*item);
    }
}

} // namespace dragonflystair::soak
