#include "soak_cluster.h"

#include "dragonflystair/support/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace dragonflystair::soak {

using scenarios::relay_mode;
using std::chrono::milliseconds;
using support::json;

namespace {

constexpr double usual_retry_slack = 50;
/// Queue places of the customers' endpoints; used with tenants.
constexpr std::size_t queue_places = 24;

json route(const std::string& name, const std::string& kind, const std::string& service) {
    return {{"name", name},    {"host", "desk"},     {"path-prefix", "/" + name + "/"},
            {"kind", kind},    {"service", service}, {"timeout-ms", 5'000},
            {"slo-ms", 1'000}, {"gap-aim-ms", 500},  {"attempts", 3}};
}

const std::string operator_topic = "keyed.op";
const std::string endpoint_topic = "keyed.servers";

/// Time after a fault until checks with time bounds hold again; specified by the platform.
constexpr milliseconds stable_time{4'000};

/// Age of the copy from which the store is restored, when its outage begins.
constexpr milliseconds min_copy_age{2'000};
constexpr std::size_t copy_age_spread_ms = 7'000;
constexpr milliseconds copy_interval{200};
constexpr milliseconds heartbeat_interval{1'200};
/// A write without a response is executed up to 6 s late, by the platform.
constexpr milliseconds max_write_delay{6'000};
/// Time in which lost records are written again; about two seconds at most by the platform.
constexpr milliseconds write_again_time{1'500};

/// Sets a link's mode and returns the function that restores normal forwarding.
std::function<void()> inject_link_fault(scenarios::tcp_relay& link, relay_mode mode) {
    link.set_mode(mode);
    return [&link] { link.set_mode(relay_mode::pass); };
}

/// Returns the records of the operator and of endpoints that a state has and an earlier copy lacks.
std::vector<written_record> records_since(const gateway::store_copy& copy,
                                          const gateway::store_copy& state) {
    std::vector<written_record> out;
    for (const auto& topic : {operator_topic, endpoint_topic}) {
        const auto copied = copy.topics.find(topic);
        const auto known = copied == copy.topics.end() ? 0 : copied->second.size();
        const auto all = state.topics.find(topic);
        for (auto i = known; all != state.topics.end() && i < all->second.size(); ++i) {
            out.push_back({topic, all->second[i].first, all->second[i].second});
        }
    }
    return out;
}

std::function<void()> inject_failure(soak_endpoint& target, endpoint_failure failure) {
    target.set_failure(failure);
    return [&target] { target.set_failure(endpoint_failure::none); };
}

} // namespace

soak_cluster::soak_cluster(const net::executor& context, const std::string& program,
                           std::string folder, guarantee_checker& checked, bool one_data_centre,
                           std::uint64_t store_era, tenant_checker* tenants)
    : context_(context), folder_(std::move(folder)), checked_(checked), tenants_(tenants),
      store_(context), watch_(context, checked, store_.address()) {
    store_.set_era(store_era);
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
        write_settings(*item, usual_retry_slack, 0);
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
                                            write("keyed.servers", id, record);
                                        });
    item.link = std::make_unique<scenarios::tcp_relay>(item.self->address());
    if (tenants_ != nullptr) {
        item.self->set_queue(queue_places);
        item.self->on_arrival([this](const net::http_request& request, bool runs) {
            tenants_->note_arrival(request, runs);
        });
    }
    item.self->register_at(item.link->address());
    endpoints_.push_back(std::move(item));
}

void soak_cluster::write_settings(soak_gateway& item, double retry_slack, std::size_t draw) {
    std::vector<std::string> peers;
    peers.reserve(gateways_.size());
    for (const auto& other : gateways_) {
        peers.push_back(other->peer_address());
    }
    item.write_settings(peers, retry_slack,
                        tenants_ == nullptr ? std::string{} : tenants_->setting_lines(draw));
}

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
    json text{{"version", version_},
              {"routes", routes},
              {"services",
               json::array({{{"name", "register"}}, {{"name", "assistant"}, {"engine", engine}}})}};
    if (tenants_ != nullptr) {
        text["tenants"] = tenants_->configuration();
    }
    write(operator_topic, "config", text.dump());
}

void soak_cluster::write(const std::string& topic, const std::string& key,
                         const std::string& value) {
    const std::lock_guard lock(write_mutex_);
    written_.insert(key);
    write_locked(topic, key, value);
}

/// A record written while the store is down is written again, and only then acknowledged.
void soak_cluster::write_locked(const std::string& topic, const std::string& key,
                                const std::string& value) {
    store_.put(topic, key, value);
    if (topic == operator_topic) {
        watch_.note_written(json::parse(value).at("version").get<std::uint64_t>(), !store_down_);
    }
}

/// Writes the records that the operator and endpoints lost in a restoration, all or the newest of
/// each key, except those whose keys have been written since.
net::awaitable<void> soak_cluster::write_again(std::vector<written_record> lost, bool newest_only) {
    if (newest_only) {
        std::set<std::string> keys;
        std::ranges::reverse(lost);
        std::erase_if(lost, [&](const auto& item) { return !keys.insert(item.key).second; });
        std::ranges::reverse(lost);
    }
    boost::asio::steady_timer pause(context_);
    for (const auto& item : lost) {
        pause.expires_after(write_again_time / static_cast<int>(lost.size()));
        co_await pause.async_wait(boost::asio::use_awaitable);
        const std::lock_guard lock(write_mutex_);
        if (!written_.contains(item.key)) {
            write_locked(item.topic, item.key, item.value);
        }
    }
}

std::function<void()> soak_cluster::begin_restoration(const fault& item) {
    const auto age =
        min_copy_age + milliseconds(static_cast<int>(item.target % copy_age_spread_ms));
    const auto copied_at = support::boot_clock::now() - age;
    const std::lock_guard lock(write_mutex_);
    if (std::exchange(store_down_, true)) {
        return [] {};
    }
    checked_.excuse(store_.address(), support::time_point::max());
    store_.set_mode(item.target % 2 == 0 ? gateway::store_mode::refuse
                                         : gateway::store_mode::lose_answers);
    return [this, copied_at, newest_only = item.target % 3 != 0] {
        const std::lock_guard end_lock(write_mutex_);
        const auto later =
            std::ranges::find_if(copies_, [&](const auto& copy) { return copy.taken > copied_at; });
        auto copy = later == copies_.begin() ? copies_.front() : *std::prev(later);
        copies_.erase(later, copies_.end());
        auto lost = records_since(copy, store_.copy());
        store_.restore(std::move(copy));
        store_down_ = false;
        written_.clear();
        checked_.excuse(store_.address(), support::boot_clock::now() + stable_time);
        boost::asio::co_spawn(
            context_, [this, lost, newest_only] { return write_again(lost, newest_only); },
            boost::asio::detached);
    };
}

net::awaitable<void> soak_cluster::take_copies() {
    boost::asio::steady_timer pause(context_);
    while (copying_) {
        pause.expires_after(copy_interval);
        co_await pause.async_wait(boost::asio::use_awaitable);
        const std::lock_guard lock(write_mutex_);
        if (!store_down_) {
            copies_.push_back(store_.copy());
        }
    }
}

net::awaitable<void> soak_cluster::write_heartbeats() {
    boost::asio::steady_timer pause(context_);
    while (beating_) {
        for (const auto& item : endpoints_) {
            pause.expires_after(heartbeat_interval / static_cast<int>(endpoints_.size()));
            co_await pause.async_wait(boost::asio::use_awaitable);
            item.self->heartbeat();
        }
    }
}

void soak_cluster::start_heartbeats() {
    boost::asio::co_spawn(
        context_, [this] { return write_heartbeats(); }, boost::asio::detached);
}

bool soak_cluster::endpoints_in_use() const {
    return std::ranges::all_of(gateways_, [this](const auto& item) {
        return std::ranges::all_of(endpoints_, [&](const auto& endpoint) {
            return endpoint.self->is_ready_by(item->last_line_with(endpoint.self->log_prefix()));
        });
    });
}

/// Lets an endpoint leave that has just restarted, and writes one or two records of its former run
/// late. Of three endpoints one leaves without saying so. Two late heartbeats of the run that was
/// removed last count as a return, so this writes two only if the next run started later.
net::awaitable<void> soak_cluster::leave_beside_late_reports(std::size_t draw,
                                                             soak_endpoint& target, std::string id,
                                                             std::string former) {
    const auto restarted = support::boot_clock::now();
    boost::asio::steady_timer timer(context_);
    timer.expires_after(milliseconds(100 + 150 * static_cast<int>(draw % 8)));
    co_await timer.async_wait(boost::asio::use_awaitable);
    if (draw % 3 == 0) {
        target.unlist(true);
    } else {
        target.announce_draining(true);
    }
    const auto late = milliseconds(1'500 + 400 * static_cast<int>(draw / 8 % 12));
    const int writes = draw % 5 < 2 ? 1 : 2;
    for (int number = 0; number < writes; ++number) {
        const auto delay = std::min(late + 700 * milliseconds(number), max_write_delay);
        timer.expires_after(
            std::max<support::duration>(restarted + delay - support::boot_clock::now(), {}));
        co_await timer.async_wait(boost::asio::use_awaitable);
        write(endpoint_topic, id, former);
    }
    timer.expires_after(3 * heartbeat_interval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    target.expire_record();
}

/// Restarts an endpoint under its id, with a start time that is earlier, equal or later.
std::function<void()> soak_cluster::begin_late_report(const fault& item, linked_endpoint& target) {
    if (std::exchange(target.restarts_late, true)) {
        return [] {};
    }
    const auto draw = item.target / endpoints_.size();
    auto [id, former] = target.self->record();
    constexpr std::array clock_steps{-1'500, 0, 1'000, 2'000, 3'000};
    target.self->restart_in_place(milliseconds(clock_steps.at(draw % clock_steps.size())));
    boost::asio::co_spawn(
        context_,
        [this, draw, self = target.self.get(), id, former] {
            return leave_beside_late_reports(draw, *self, id, former);
        },
        boost::asio::detached);
    return [&target] {
        target.self->restart_in_place(std::chrono::seconds{4});
        target.restarts_late = false;
    };
}

void soak_cluster::watch_configurations() {
    copies_.push_back(store_.copy());
    boost::asio::co_spawn(
        context_, [this] { return take_copies(); }, boost::asio::detached);
    for (const auto& item : gateways_) {
        watch_.observe(*item);
    }
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
    case fault_kind::restore_store:
        return begin_restoration(item);
    case fault_kind::hang_up_gateway:
        return begin_on_gateway(item, *gateways_[item.target % gateways_.size()]);
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
    case fault_kind::late_report:
        return begin_on_endpoint(item, endpoints_[item.target % endpoints_.size()]);
    default:
        return begin_with_excuse(item, *gateways_[item.target % gateways_.size()]);
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
    case fault_kind::late_report:
        return begin_late_report(item, target);
    case fault_kind::unlist_endpoint:
        target.self->unlist(!checked_.excused(store_.address()));
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
        check_process(target);
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
        write_settings(target, usual_retry_slack + static_cast<double>(item.target % 10),
                       item.target / 10);
        if (target.started()) {
            target.hang_up();
        }
        return [] {};
    case fault_kind::partition_store_link:
        return inject_link_fault(target.store_link(), relay_mode::silence_all);
    case fault_kind::cut_store_link:
        return inject_link_fault(target.store_link(), relay_mode::cut);
    case fault_kind::silence_store_link:
        return inject_link_fault(target.store_link(), relay_mode::silence_open);
    case fault_kind::silence_store_answers:
        return inject_link_fault(target.store_link(), relay_mode::silence_answers);
    case fault_kind::reset_store_link:
        return inject_link_fault(target.store_link(), relay_mode::reset_open);
    default:
        return inject_link_fault(target.store_link(), relay_mode::delay);
    }
}

/// Excuses the gateway while a fault affects it, but not its neighbours.
std::function<void()> soak_cluster::begin_with_excuse(const fault& item, soak_gateway& target) {
    checked_.excuse(target.caller_address(), support::time_point::max());
    ++excusing_faults_[&target];
    return [this, &target, end = begin_on_gateway(item, target)] {
        end();
        if (--excusing_faults_[&target] == 0) {
            checked_.excuse(target.caller_address(), support::boot_clock::now() + stable_time);
        }
    };
}

/// Reports a process that took more memory than its machine has, or has logged a key.
void soak_cluster::check_process(const soak_gateway& item) {
    const auto peak = item.peak_memory_mb();
    const bool logged = item.has_logged(tenant_checker::key_prefix);
    if (tenants_ != nullptr && (logged || peak > tenant_checker::memory_mb)) {
        checked_.report_violation(fmt::format("{} has {}taken {} MB of memory", item.name(),
                                              logged ? "logged a key and " : "", peak));
    }
}

/// Ends the gateway's process and reports a violation unless it exited with 0 or was killed by
/// SIGKILL; any other code means a crash.
void soak_cluster::reap(soak_gateway& item) {
    if (!item.started()) {
        return;
    }
    check_process(item);
    const int code = item.reap();
    if (code != 0 && code != 128 + SIGKILL) {
        checked_.report_violation(fmt::format("{} ended with exit code {}", item.name(), code));
    }
}

void soak_cluster::stop() {
    copying_ = false;
    beating_ = false;
    watch_.stop();
    for (const auto& item : gateways_) {
        reap(*item);
    }
}

} // namespace dragonflystair::soak
