#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr std::size_t cache_tokens = 122'581;

/// A dispatcher of a service with three engines of 32 slots.
std::unique_ptr<dispatcher> make_node(std::size_t cache) {
    auto node = std::make_unique<dispatcher>(topology("north", {{"north", "n"}}));
    auto current = sample_configuration(32);
    current.services["assistant"].engines.cache_tokens = cache;
    node->configure(current);
    for (const std::string id : {"a", "b", "c"}) {
        node->update(sample_endpoint(id, "assistant", 32));
    }
    return node;
}

pending_call call_of(std::uint64_t number, std::size_t prompt, std::size_t output,
                     support::time_point now) {
    auto call = sample_call(number, "assistant", now, milliseconds{2'000});
    call.prompt_tokens = prompt;
    call.output_tokens = output;
    return call;
}

/// Tokens that calls may reach on an engine.
class engine_memory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_memory_test);
    CPPUNIT_TEST(long_prompts_placed_by_a_lead_fit_into_the_engines);
    CPPUNIT_TEST(long_prompts_placed_by_eight_nodes_with_old_reports_fit_into_the_engines);
    CPPUNIT_TEST(call_larger_than_an_empty_engine_is_refused_at_once);
    CPPUNIT_TEST(calls_without_tokens_are_placed_as_without_the_limit);
    CPPUNIT_TEST(ended_calls_free_their_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a lead that overruns engines, which then crash, although slots are free.
    void long_prompts_placed_by_a_lead_fit_into_the_engines() {
        CPPUNIT_ASSERT(highest_load(1, "north", 0) > cache_tokens);
        const auto highest = highest_load(1, "north", cache_tokens);
        CPPUNIT_ASSERT(highest <= cache_tokens);
        CPPUNIT_ASSERT(highest >= cache_tokens * 3 / 4);
    }

    /// The same for nodes that place calls while their lead is silent.
    void long_prompts_placed_by_eight_nodes_with_old_reports_fit_into_the_engines() {
        CPPUNIT_ASSERT(highest_load(8, {}, 0) > cache_tokens);
        const auto highest = highest_load(8, {}, cache_tokens);
        CPPUNIT_ASSERT(highest <= cache_tokens);
        CPPUNIT_ASSERT(highest >= cache_tokens / 3);
    }

    void call_larger_than_an_empty_engine_is_refused_at_once() {
        const auto node = make_node(cache_tokens);
        node->submit(call_of(1, cache_tokens - 100, 101, start));
        node->submit(call_of(2, cache_tokens - 100, 100, start));
        const auto decisions = node->pump(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.size());
        CPPUNIT_ASSERT(decisions[0].endpoint.empty());
        CPPUNIT_ASSERT(decisions[0].reason == refusal::too_large);
        CPPUNIT_ASSERT_EQUAL(milliseconds{0}.count(), decisions[0].retry_after.count());
        CPPUNIT_ASSERT(!decisions[1].endpoint.empty());
    }

    void calls_without_tokens_are_placed_as_without_the_limit() {
        const auto node = make_node(1);
        for (std::uint64_t number = 1; number <= 96; ++number) {
            node->submit(call_of(number, 0, 0, start));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{96}, node->pump(start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, node->take_memory_skips());
    }

    void ended_calls_free_their_memory() {
        const auto node = make_node(cache_tokens);
        node->submit(call_of(1, 9'000, 500, start));
        const auto endpoint = node->pump(start).at(0).endpoint;
        CPPUNIT_ASSERT_EQUAL(std::size_t{9'500}, node->own_loads().at(endpoint).held_tokens);
        node->retry(1);
        node->pump(start);
        CPPUNIT_ASSERT(!node->own_loads().contains(endpoint));
        node->finish(1, start);
        CPPUNIT_ASSERT(node->own_loads().empty());
    }

private:
    /// Replays a surge of long prompts for 10 s that the nodes place together, with reports every
    /// 200 ms, and returns the highest number of tokens that an engine had.
    static std::size_t highest_load(std::size_t count, const std::string& data_centre,
                                    std::size_t cache) {
        std::vector<std::unique_ptr<dispatcher>> nodes;
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(make_node(cache));
            nodes.back()->set_nodes(count);
        }
        std::vector<std::multimap<int, std::uint64_t>> started(count);
        std::vector<std::multimap<int, std::uint64_t>> ended(count);
        std::size_t highest = 0;
        for (int ms = 0; ms < 10'000; ms += 5) {
            const auto now = start + milliseconds{ms};
            for (std::size_t i = 0; i < count; ++i) {
                auto& node = *nodes[i];
                for (; !started[i].empty() && started[i].begin()->first <= ms;
                     started[i].erase(started[i].begin())) {
                    node.on_started(started[i].begin()->second, now);
                }
                for (; !ended[i].empty() && ended[i].begin()->first <= ms;
                     ended[i].erase(ended[i].begin())) {
                    node.finish(ended[i].begin()->second, now);
                }
                if (ms % (20 * static_cast<int>(count)) == 0) {
                    auto call = call_of(static_cast<std::uint64_t>(ms) + 1, 9'190, 300, now);
                    call.data_centre = data_centre;
                    node.submit(call);
                }
                for (const auto& decision : node.pump(now)) {
                    if (decision.endpoint.empty()) {
                        node.finish(decision.number, now);
                    } else {
                        started[i].emplace(ms + 50, decision.number);
                        ended[i].emplace(ms + 2'000, decision.number);
                    }
                }
            }
            highest = std::max(highest, exchange(nodes, ms % 200 == 0, now));
        }
        return highest;
    }

    /// Reports the loads of the nodes to each other if that is due. Returns the highest load.
    static std::size_t exchange(const std::vector<std::unique_ptr<dispatcher>>& nodes, bool due,
                                support::time_point now) {
        std::map<std::string, std::size_t> sums;
        for (const auto& node : nodes) {
            auto loads = node->own_loads();
            for (const std::string id : {"a", "b", "c"}) {
                sums[id] += loads[id].held_tokens;
                for (const auto& peer : nodes) {
                    if (due && peer != node) {
                        peer->set_peer_load(std::to_string(&node - nodes.data()), id, loads[id],
                                            now);
                    }
                }
            }
        }
        return std::ranges::max_element(sums, {}, [](const auto& entry) { return entry.second; })
            ->second;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_memory_test);

} // namespace
