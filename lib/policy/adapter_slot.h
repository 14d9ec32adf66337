#pragma once

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <cstddef>

namespace dragonflystair::policy::slot_events {

struct load_begins {};
struct load_succeeds {};
struct load_fails {};
struct unload_begins {};
struct unload_succeeds {};
struct unload_is_refused {};
struct unload_answer_is_lost {};
struct report_shows {};
struct report_lacks {};

} // namespace dragonflystair::policy::slot_events

namespace dragonflystair::policy {

namespace slot_flags {
struct loading {};
struct resident {};
struct unloading {};
} // namespace slot_flags

/// States of one adapter on one endpoint. Only an unpinned resident adapter can be unloaded, and
/// after a lost answer to the unload only a report ends the doubt.
struct adapter_slot_definition : boost::msm::front::state_machine_def<adapter_slot_definition> {
    template <class Flag> struct flagged : boost::msm::front::state<> {
        using flag_list = boost::mpl::vector1<Flag>;
    };
    struct absent : boost::msm::front::state<> {};
    struct loading : flagged<slot_flags::loading> {};
    struct resident : flagged<slot_flags::resident> {};
    struct unloading : flagged<slot_flags::unloading> {};
    struct in_doubt : flagged<slot_flags::unloading> {};
    using initial_state = absent;
    // No transition sends an event, so the queue for nested events is not needed.
    using no_message_queue = int;

    struct unpinned {
        template <class Event, class Machine, class Source, class Target>
        bool operator()(const Event& /*event*/, Machine& machine, Source& /*from*/,
                        Target& /*to*/) const {
            return machine.pins == 0;
        }
    };

    template <class... Types> using row = boost::msm::front::Row<Types...>;
    using none = boost::msm::front::none;
    struct transition_table
        : boost::mpl::vector<row<absent, slot_events::load_begins, loading>,
                             row<absent, slot_events::report_shows, resident>,
                             row<loading, slot_events::load_succeeds, resident>,
                             row<loading, slot_events::load_fails, absent>,
                             row<resident, slot_events::unload_begins, unloading, none, unpinned>,
                             row<resident, slot_events::report_lacks, absent, none, unpinned>,
                             row<unloading, slot_events::unload_succeeds, absent>,
                             row<unloading, slot_events::unload_is_refused, resident>,
                             row<unloading, slot_events::unload_answer_is_lost, in_doubt>,
                             row<in_doubt, slot_events::report_shows, resident>,
                             row<in_doubt, slot_events::report_lacks, absent>> {};

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}

    std::size_t pins = 0;
    bool takeover_pin = false; ///< One of `pins` stands for work of a former owner.
    bool unusable = false;     ///< A former owner may still unload it.
};

using adapter_slot = boost::msm::back::state_machine<adapter_slot_definition>;

} // namespace dragonflystair::policy
