#pragma once

#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

inline const model_name patterns{"base", "patterns"};

/// Target for the gap between events of a stream.
inline constexpr milliseconds allowed_gap{300};

inline endpoint_record engine(const std::string& id, const std::string& data_centre) {
    auto record = sample_endpoint(id, "assistant", 4, data_centre);
    record.models = {{"base", 1, {{"patterns", 1}}}};
    return record;
}

inline endpoint_record plain(const std::string& id, const std::string& data_centre) {
    return sample_endpoint(id, "register", 4, data_centre);
}

inline pending_call generation(std::uint64_t number, std::size_t tokens = 400) {
    auto call = sample_call(number, "assistant", start, milliseconds{500});
    call.model = patterns;
    call.prompt_tokens = tokens;
    return call;
}

inline pending_call plain_call(std::uint64_t number) {
    return sample_call(number, "register", start, milliseconds{500});
}

/// A dispatcher in the data centre `north` without endpoints.
class dispatcher_fixture : public CppUnit::TestFixture {
public:
    void setUp() override {
        topology layout("north", {{"north", "n"}, {"south", "s"}});
        fleet_dispatcher = std::make_unique<dispatcher>(layout);
        auto current = sample_configuration(4);
        route stream_route;
        stream_route.kind = call_kind::stream;
        stream_route.max_event_gap = allowed_gap;
        stream_route.services = {{"assistant", 1}};
        current.routes = {stream_route};
        fleet_dispatcher->configure(current);
    }

protected:
    std::string place(pending_call call) {
        const auto number = call.number;
        fleet_dispatcher->submit(std::move(call));
        for (const auto& decision : fleet_dispatcher->pump(start)) {
            if (decision.number == number) {
                return decision.endpoint;
            }
        }
        return {};
    }

    std::unique_ptr<dispatcher> fleet_dispatcher;
};

} // namespace dragonflystair::fleet
