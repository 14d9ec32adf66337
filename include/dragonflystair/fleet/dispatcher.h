#pragma once

#include "dragonflystair/fleet/call.h"
#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/endpoint_record.h"
#include "dragonflystair/fleet/topology.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Calls that one node has under way at one endpoint.
struct endpoint_load {
    std::size_t calls = 0;
    std::size_t pending_prefill_tokens = 0; ///< Of prompts whose first event has not come.

    bool operator==(const endpoint_load&) const = default;
};

enum class residency { absent, loading, ready };

/// A call that needs an endpoint.
struct pending_call {
    std::uint64_t number = 0; ///< Chosen by the node; unique among its open calls.
    std::string service;
    model_name model;
    std::vector<prompt_part> prompt;
    std::size_t prompt_tokens = 0;
    int priority = 0;
    support::time_point arrived;
    support::time_point objective_deadline; ///< An answer or first event until then is on time.
    support::time_point queue_deadline;     ///< Refused if it has no endpoint until then.
    support::time_point load_deadline;      ///< The same while its adapter is being loaded.
    std::vector<std::string> excluded;      ///< Endpoints that it was sent to.
    /// Only endpoints there are considered, as by its lead; empty for those of all data centres.
    std::string data_centre;
    /// Another data centre may be asked in place of waiting here.
    bool may_divert = false;
};

enum class refusal {
    no_endpoints, ///< No endpoint of the service is known.
    overloaded,   ///< The calls ahead of it take longer than it can wait.
    no_capacity,  ///< Nothing became free in time.
    no_adapter,   ///< Its adapter was not loaded in time.
    paused,       ///< Every endpoint that could run it asked to be left alone for longer.
    elsewhere,    ///< Another data centre has its adapter; that one is to be asked.
};

std::string_view to_string(refusal reason);

/// What becomes of a call: an endpoint, or a refusal with the time after which there is room.
struct dispatch_decision {
    std::uint64_t number = 0;
    std::string endpoint;                 ///< Empty if it is refused.
    std::optional<std::uint64_t> version; ///< Adapter version that the endpoint must have.
    refusal reason = refusal::no_capacity;
    std::chrono::milliseconds retry_after{0};
};

/// Demand for an adapter that no endpoint has ready, or that only other data centres have.
struct adapter_demand {
    model_name model;
    std::string data_centre;  ///< Where a copy is wanted.
    std::size_t waiting = 0;  ///< Calls that wait for it now.
    std::size_t diverted = 0; ///< Calls sent to another data centre since the last time.
    std::size_t crowded = 0;  ///< Calls sent to a busy endpoint while another was less so.
    /// Time after which refused calls were told to return; 0 if none was refused.
    std::chrono::milliseconds retry_after{0};
};

/// Decides where calls run, in which order they wait and which are refused. Each node dispatches
/// straight to the endpoints: it counts its own calls exactly and adds what peers last said.
///
/// Load patterns it answers: a wave of short generations with a few prompts that take as long to
/// read as fifty others; endpoints that hold the adapter but have no free place; plain services
/// with few slots in each of three regions. Long prompts are kept apart from each other and, where
/// there is a choice, from running generations, whose events they delay. An adapter is used
/// wherever it is ready, since all engines together have hardly more places than there are adapters
/// in use. Pure: the time is an argument.
class dispatcher {
public:
    explicit dispatcher(topology places);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    void configure(const configuration& current);

    void update(const endpoint_record& record);
    /// The endpoint gets no further call; those under way go on.
    void remove(std::string_view endpoint);
    /// Nothing is sent there until then, as after a refused connection.
    void suspend(std::string_view endpoint, support::time_point until);
    /// The endpoint asked to be left alone until then. Its room does not count meanwhile, and after
    /// it work returns gradually.
    void pause(std::string_view endpoint, support::time_point until);
    /// When the pause ends or ended; long ago if there was none.
    [[nodiscard]] support::time_point paused_until(std::string_view endpoint) const;
    /// The endpoint said that it leaves; its record will say so later.
    void set_draining(std::string_view endpoint);
    void set_residency(std::string_view endpoint, const model_name& model, residency state,
                       std::uint64_t version);
    /// Calls for the adapter run on this version or a newer one.
    void require_version(const model_name& model, std::uint64_t version);

    void set_peer_load(std::string_view peer, std::string_view endpoint, endpoint_load load,
                       support::time_point now);
    void remove_peer(std::string_view peer);

    /// Whether some node gives orders to engines; without one no adapter can be loaded.
    void set_loads_possible(bool possible);

    void submit(pending_call call);
    /// The call has ended or its caller has gone, whatever state it was in.
    void finish(std::uint64_t number, support::time_point now);
    /// Frees the call's place and lets it wait again; the endpoint is not chosen a second time.
    void retry(std::uint64_t number);
    /// The first event or the answer came.
    void on_started(std::uint64_t number, support::time_point now);
    void on_failed(std::string_view endpoint, support::time_point now);

    /// Data centre whose lead should place a call for an engine: one that has the adapter ready,
    /// the nearest first, or the one that should load it. `passed` is left out if it can be.
    [[nodiscard]] std::string lead_data_centre(const pending_call& call,
                                               std::string_view passed) const;
    /// Whether the service's endpoints are engines.
    [[nodiscard]] bool has_engines(std::string_view service) const;
    /// Another data centre was asked to place a call for the adapter.
    void note_diverted(const model_name& model);

    /// Places and refuses waiting calls. Cheap while nothing has changed.
    std::vector<dispatch_decision> pump(support::time_point now);

    /// When `pump` has to run again even if nothing happens; nothing if no call waits.
    [[nodiscard]] std::optional<support::time_point> next_deadline() const;

    /// Whether a call began to wait for an adapter since the last time.
    bool take_new_demand();
    /// Demand that the holder of the placement lease should know.
    std::vector<adapter_demand> take_demand();

    /// Adapters with calls under way or sent since the last time, by the data centre of the
    /// endpoint, with the number of those sent.
    std::map<std::string, std::map<model_name, std::size_t>> take_used();

    [[nodiscard]] std::map<std::string, endpoint_load> own_loads() const;
    /// The endpoint's last record, or null.
    [[nodiscard]] const endpoint_record* find(std::string_view endpoint) const;
    /// Whether some endpoint takes calls of the service.
    [[nodiscard]] bool serves(std::string_view service) const;
    [[nodiscard]] std::size_t waiting() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::fleet
