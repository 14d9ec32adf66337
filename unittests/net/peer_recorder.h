#pragma once

#include "dragonflystair/net/peer_network.h"

#include "scripted_peer.h"
#include "test_context.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflystair::net {

using std::chrono::milliseconds;
using support::counters;
using support::json;

/// Network of one node that records the calls of its hooks.
class recorder {
public:
    recorder(test_context& context, peer_settings settings)
        : network_(context.get(), "127.0.0.1:0", std::move(settings), make_hooks(), counters_) {
        network_.start();
    }

    peer_network& network() { return network_; }
    counters& counted() { return counters_; }

    /// Waits until `done` returns true; it is called with the events locked.
    void wait(const std::function<bool()>& done) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, done);
    }
    void wait_for_event(const std::string& event) {
        wait([&] { return std::ranges::find(events, event) != events.end(); });
    }
    /// Polls a counter, since no hook reports its changes.
    void wait_for_count(std::string_view family, std::string_view reason) const {
        while (counters_.value(family, reason) == 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
    std::vector<std::string> recorded_events() {
        const std::lock_guard lock(mutex_);
        return events;
    }

    std::vector<std::string> events; ///< `up PEER`, `down PEER`, `PEER N` for a frame's number.

private:
    void add(std::string event) {
        const std::lock_guard lock(mutex_);
        events.push_back(std::move(event));
        changed_.notify_all();
    }
    peer_network::hooks make_hooks() {
        return {[this](std::string_view peer, const json& frame) {
                    add(std::string(peer) + " " + frame["n"].dump());
                },
                [this](std::string_view peer) { add("up " + std::string(peer)); },
                [this](std::string_view peer) { add("down " + std::string(peer)); }};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    counters counters_;
    peer_network network_;
};

inline peer_settings settings(const std::string& name) {
    peer_settings out;
    out.name = name;
    out.incarnation = name + "-1";
    out.secret = "secret";
    out.redial_period = milliseconds(20);
    return out;
}

inline json numbered(int n) {
    return {{"type", "test"}, {"n", n}};
}

inline std::string framed(const json& frame) {
    std::string body;
    json::to_msgpack(frame, body);
    std::string out{'\0', '\0', static_cast<char>(body.size() >> 8U),
                    static_cast<char>(body.size() & 0xffU)};
    return out + body;
}

/// Nodes on one context. Tests stop it while their nodes still exist.
class peer_network_fixture : public CppUnit::TestFixture {
public:
    void tearDown() override { context.stop(); }

protected:
    test_context context;
};

} // namespace dragonflystair::net
