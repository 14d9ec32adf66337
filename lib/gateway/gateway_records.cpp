#include "dragonflystair/net/caller_allowance.h"
#include "dragonflystair/net/json_text.h"
#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include "gateway_impl.h"
#include "platform/decode.h"
#include "platform/names.h"
#include "sleep.h"

#include <string_view>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Delay between attempts to register this node in the store.
constexpr milliseconds register_retry_delay{500};

/// Returns the value of the record under which a node registers itself for the others.
support::json node_value(const config::gateway_settings& settings) {
    return {{"peer", settings.peer_address},
            {"data_centre", settings.data_centre},
            {"cores", settings.cores}};
}

fleet::keyed_record node_record(const config::gateway_settings& settings) {
    fleet::keyed_record record;
    record.key = settings.name;
    record.value = node_value(settings).dump();
    return record;
}

} // namespace

void gateway::impl::on_operator_records(std::span<const fleet::keyed_record> records) {
    for (const auto& record : records) {
        if (record.key == platform::configuration_key) {
            on_configuration(record);
        } else if (record.key.starts_with(platform::version_key_prefix)) {
            on_version(record);
        }
    }
}

void gateway::impl::on_configuration(const fleet::keyed_record& record) {
    if (!record.value) {
        return;
    }
    auto decoded = platform::decode_configuration(*record.value);
    if (!decoded) {
        support::log_change("configuration_damaged", {{"offset", std::to_string(record.offset)}});
        counters_.increment("records_damaged_total", "configuration");
        return;
    }
    if (view_.configuration && decoded->version <= view_.configuration->version) {
        return;
    }
    support::log_change("configuration", {{"version", std::to_string(decoded->version)},
                                          {"offset", std::to_string(record.offset)},
                                          {"routes", std::to_string(decoded->routes.size())}});
    view_.configuration = std::make_shared<const fleet::configuration>(std::move(*decoded));
    const auto& current = *view_.configuration;
    view_.keys.replace(current.tenants);
    configure_quotas(current);
    view_.dispatcher.configure(current);
    for (const auto& [name, holder] : holders_) {
        holder->planner().configure(current);
    }
    auto limits = net::request_limits_of(view_.settings.callers);
    limits.header_bytes = current.limits.header_bytes;
    limits.body_bytes = current.limits.body_bytes;
    limits.request_timeout = current.limits.header_timeout;
    limits.idle_timeout = current.limits.idle_timeout;
    caller_server_.set_limits(limits);
    pump();
}

void gateway::impl::on_version(const fleet::keyed_record& record) {
    const auto decoded = record.value ? platform::decode_version(*record.value) : std::nullopt;
    if (!decoded) {
        counters_.increment("records_damaged_total", "version");
        return;
    }
    if (decoded->adapter.empty()) {
        return;
    }
    const fleet::model_name adapter{decoded->model, decoded->adapter};
    support::log_change("adapter_version", {{"adapter", adapter.model + "/" + adapter.adapter},
                                            {"version", std::to_string(decoded->version)},
                                            {"offset", std::to_string(record.offset)}});
    view_.dispatcher.require_version(adapter, decoded->version);
    for (const auto& [name, holder] : holders_) {
        holder->planner().require_version(adapter, decoded->version);
        holder->pump();
    }
    pump();
}

void gateway::impl::on_endpoint_records(std::span<const fleet::keyed_record> records) {
    const auto now = boot_clock::now();
    if (const auto era = endpoint_records_.mirror().era(); listed_era_ && era > *listed_era_) {
        // The node may have learned of the era long before it got this list.
        watch_.on_store_restored(now);
    }
    listed_era_ = endpoint_records_.mirror().era();
    for (const auto& record : records) {
        if (!record.value) {
            watch_.on_missing(record.key, now);
            continue;
        }
        auto decoded = platform::decode_endpoint(record.key, *record.value);
        if (!decoded) {
            counters_.increment("records_damaged_total", "endpoint");
            continue;
        }
        const auto started_ms = decoded->started_ms;
        decoded = watch_.on_listed(std::move(*decoded), now);
        if (!decoded) {
            note_doubted_record(record, started_ms);
            continue;
        }
        const auto* previous = view_.dispatcher.find(decoded->id);
        const auto former_run = previous == nullptr ? decoded->started_ms : previous->started_ms;
        if (previous == nullptr || previous->draining != decoded->draining ||
            former_run != decoded->started_ms) {
            support::log_change("endpoint", {{"endpoint", decoded->id},
                                             {"service", decoded->service},
                                             {"address", decoded->address},
                                             {"started_ms", std::to_string(decoded->started_ms)},
                                             {"state", decoded->draining ? "leaving" : "ready"},
                                             {"offset", std::to_string(record.offset)}});
        }
        if (decoded->draining) {
            view_.endpoints.close_idle(decoded->address);
        }
        view_.dispatcher.update(*decoded);
        if (const auto holder = holders_.find(decoded->data_centre); holder != holders_.end()) {
            const auto* service =
                view_.configuration ? view_.configuration->find_service(decoded->service) : nullptr;
            if (!decoded->models.empty() || (service != nullptr && service->has_engines)) {
                holder->second->planner().update(*decoded);
            }
        }
        if (former_run != decoded->started_ms) {
            reattribute_answers(*decoded, former_run);
        }
        apply_limit(decoded->id);
    }
    remove_gone_endpoints();
    pump();
}

/// Corrects what was concluded from answers that the run which is listed now may have given itself.
void gateway::impl::reattribute_answers(const fleet::endpoint_record& record,
                                        std::uint64_t former_run) {
    const auto now = boot_clock::now();
    view_.limits.on_run_listed(record.id, former_run, record.started_ms, now);
    view_.suspects.on_run_listed(record.id, former_run, now);
    if (const auto until =
            view_.backoff.on_run_listed(record.id, former_run, record.started_ms, now)) {
        apply_pause(record.id, *until, "former_run");
    }
}

/// Records an entry that is not believed, since it may be older than the run in force.
void gateway::impl::note_doubted_record(const fleet::keyed_record& record,
                                        std::uint64_t started_ms) {
    const auto* in_force = view_.dispatcher.find(record.key);
    counters_.increment("records_doubted_total", "endpoint");
    support::log_request(
        "endpoint_record_doubted",
        {{"endpoint", record.key},
         {"started_ms", std::to_string(started_ms)},
         {"run_in_force", in_force == nullptr ? "none" : std::to_string(in_force->started_ms)},
         {"offset", std::to_string(record.offset)}});
    if (in_force != nullptr && watch_.is_draining(record.key)) {
        apply_leaving(*in_force, "list");
    }
}

void gateway::impl::remove_gone_endpoints() {
    for (const auto& id : watch_.take_gone(boot_clock::now())) {
        support::log_change("endpoint", {{"endpoint", id}, {"state", "gone"}});
        if (const auto* record = view_.dispatcher.find(id)) {
            view_.endpoints.close_idle(record->address);
            if (!record->draining) {
                view_.crashes.on_gone(id, record->started_ms, boot_clock::now());
            }
        }
        view_.dispatcher.remove(id);
        view_.limits.remove(id);
        apply_limit(id);
        for (const auto& [name, holder] : holders_) {
            holder->planner().remove(id);
        }
    }
}

/// Tells a new peer, which may just have started, of entries that may still come back late.
void gateway::impl::send_removals(std::string_view peer) {
    const auto removed = watch_.recently_gone(boot_clock::now());
    if (!removed.empty()) {
        network_.send(peer, removals_frame(removed));
    }
}

void gateway::impl::on_removals(const support::json& frame) {
    for (const auto& removed : decode_removals(frame)) {
        watch_.on_removal_told(removed, boot_clock::now());
    }
}

void gateway::impl::on_node_records(std::span<const fleet::keyed_record> records) {
    for (const auto& record : records) {
        const auto value = record.value ? net::parse_json(*record.value) : support::json();
        if (!value.is_object() || !value.contains("peer") || !value["peer"].is_string()) {
            registered_nodes_.erase(record.key);
            continue;
        }
        registered_node node;
        node.peer_address = value["peer"].get<std::string>();
        if (const auto data_centre = value.find("data_centre");
            data_centre != value.end() && data_centre->is_string()) {
            node.data_centre = data_centre->get<std::string>();
        }
        if (const auto cores = value.find("cores"); cores != value.end() && cores->is_number()) {
            node.cores = cores->get<double>();
        }
        registered_nodes_.insert_or_assign(record.key, std::move(node));
    }
    dial_peers();
}

net::awaitable<void> gateway::impl::register_node() {
    registering_ = true;
    auto record = node_record(view_.settings);
    const std::string topic(platform::node_topic);
    while (!view_.stopping) {
        const auto answer = co_await store_.put(topic, record);
        if (answer) {
            registered_era_ = answer.value();
            break;
        }
        co_await sleep_for(io_.get_executor(), register_retry_delay);
    }
    registering_ = false;
}

/// Registers this node again if the store was restored from a copy without its record.
void gateway::impl::restore_registration() {
    const auto& mirror = node_records_.mirror();
    if (registering_ || mirror.era() <= registered_era_ || !mirror.complete()) {
        return;
    }
    if (mirror.value_of(view_.settings.name) == node_record(view_.settings).value) {
        registered_era_ = mirror.era();
        return;
    }
    support::log_change("registration_lost", {{"store_era", std::to_string(mirror.era())}});
    registering_ = true;
    net::spawn(io_.get_executor(), "register_node", [this] { return register_node(); });
}

/// Handles a restoration of the store, which has lost its newest records.
void gateway::impl::on_store_era(std::uint64_t era) {
    support::log_change("store_restored", {{"era", std::to_string(era)}});
    counters_.increment("store_restorations_total");
    watch_.on_store_restored(boot_clock::now());
    view_.freshness.on_store_restored(boot_clock::now());
    for (auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        net::spawn(io_.get_executor(), "follow_era", [follower] { return follower->follow_era(); });
    }
}

} // namespace dragonflystair::gateway
