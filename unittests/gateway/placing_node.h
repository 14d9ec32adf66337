#pragma once

#include "call_placer.h"
#include "fleet/samples.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

inline constexpr std::size_t engine_slots = 4;
inline const fleet::model_name patterns{"base", "patterns"};
inline const std::map<std::string, std::string, std::less<>> regions{
    {"east", "n"}, {"north", "n"}, {"south", "s"}, {"west", "w"}};

inline fleet::endpoint_record sample_engine(const std::string& id, const std::string& data_centre) {
    auto record = fleet::sample_endpoint(id, "assistant", engine_slots, data_centre);
    record.models = {{"base", 1, {{"patterns", 1}}}};
    return record;
}

inline config::gateway_settings settings_of(const std::string& name,
                                            const std::string& data_centre) {
    config::gateway_settings settings;
    settings.name = name;
    settings.data_centre = data_centre;
    settings.data_centres = regions;
    return settings;
}

/// A frame between nodes that has not been delivered yet.
struct frame_in_flight {
    std::string from;
    std::string to;
    support::json frame;
};

/// One node with its placer; the fixture delivers its frames.
class placing_node {
public:
    placing_node(boost::asio::io_context& io, const std::string& name,
                 const std::string& data_centre, std::deque<frame_in_flight>& frames,
                 const std::map<std::string, std::string>& leads, const support::time_point& now)
        : topology_(data_centre, regions), view_{settings_of(name, data_centre),
                                                 name,
                                                 io.get_executor(),
                                                 topology_,
                                                 counters_,
                                                 latency_,
                                                 nullptr,
                                                 fleet::dispatcher(topology_),
                                                 fleet::retry_allowance(
                                                     {0.2, 50, milliseconds{10'000}}),
                                                 fleet::endpoint_backoff(name),
                                                 net::exchange_client(io.get_executor(),
                                                                      "Request-Id"),
                                                 1,
                                                 false},
          placer_(view_, {[&frames, name](std::string_view peer, const support::json& frame) {
                              frames.push_back({name, std::string(peer), frame});
                              return true;
                          },
                          [&leads](std::string_view data_centre_name) {
                              const auto found = leads.find(std::string(data_centre_name));
                              return found == leads.end() ? std::string{} : found->second;
                          },
                          [&leads, data_centre] {
                              const auto found = leads.find(data_centre);
                              return found == leads.end() ? std::string{} : found->second;
                          },
                          [this](const auto& decision) { decisions.push_back(decision); },
                          [this, &now] { pump(now); }, [&now] { return now; }}) {
        view_.dispatcher.configure(fleet::sample_configuration(engine_slots));
        view_.dispatcher.update(sample_engine("engine", "north"));
    }

    void pump(support::time_point now) {
        for (auto found = view_.dispatcher.pump(now); !found.empty();
             found = view_.dispatcher.pump(now)) {
            for (const auto& decision : found) {
                placer_.on_decision(decision);
            }
        }
    }

    call_placer& placer() { return placer_; }
    config::gateway_settings& settings() { return view_.settings; }
    fleet::dispatcher& dispatcher() { return view_.dispatcher; }
    support::counters& counters() { return counters_; }

    /// Number of decisions that assigned an endpoint to a call of this node.
    [[nodiscard]] std::size_t placed() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            decisions, [](const auto& decision) { return !decision.endpoint.empty(); }));
    }

    std::vector<fleet::dispatch_decision> decisions;

private:
    fleet::topology topology_;
    support::counters counters_;
    support::latency_histogram latency_;
    node_view view_;
    call_placer placer_;
};

/// Nodes and the frames between them, with a manual clock.
class placing_network {
public:
    void add(const std::string& name, const std::string& data_centre) {
        nodes_[name] = std::make_unique<placing_node>(io_, name, data_centre, frames, leads, now);
    }
    placing_node& node(const std::string& name) { return *nodes_.at(name); }

    /// Delivers frames until none is in flight.
    void deliver() {
        while (!frames.empty()) {
            const auto next = frames.front();
            frames.pop_front();
            auto& placer = node(next.to).placer();
            const auto kind = next.frame.at("type").get<std::string>();
            if (kind == "p") {
                placer.on_placement_request(next.from, next.frame);
            } else if (kind == "g") {
                placer.on_placement_answer(next.frame);
            } else if (kind == "b") {
                placer.on_peer_call_started(next.from, next.frame);
            } else {
                placer.on_peer_call_end(next.from, next.frame);
            }
        }
    }

    support::time_point now{std::chrono::hours{1}};
    std::map<std::string, std::string> leads; ///< Incarnation by data centre.
    std::deque<frame_in_flight> frames;

private:
    boost::asio::io_context io_{1};
    std::map<std::string, std::unique_ptr<placing_node>> nodes_;
};

} // namespace dragonflystair::gateway
