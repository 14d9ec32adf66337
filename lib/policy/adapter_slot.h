#pragma once

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <cstddef>

namespace dragonflystair::policy::slot_events {

struct load_started {};
struct load_succeeded {};
struct load_failed {};
struct unload_started {};
struct unload_succeeded {};
struct unload_refused {};
struct unload_answer_lost {};
struct reported_resident {};
struct reported_absent {};

} // namespace dragonflystair::policy::slot_events

namespace dragonflystair::policy {

namespace slot_flags {
struct loading {};
struct resident {};
struct unloading {};
} // namespace slot_flags

/// State machine of one adapter on one endpoint. Only an unpinned resident adapter can be unloaded.
/// After the answer to an unload order is lost, only an engine report shows whether the adapter is
/// still loaded.
struct adapter_slot_definition : boost::msm::front::state_machine_def<adapter_slot_definition> {
    template <class Flag> struct flagged : boost::msm::front::state<> {
        using flag_list = boost::mpl::vector1<Flag>;
    };
    struct absent : boost::msm::front::state<> {};
    struct loading : flagged<slot_flags::loading> {};
    struct resident : flagged<slot_flags::resident> {};
    struct unloading : flagged<slot_flags::unloading> {};
    struct unload_unconfirmed : flagged<slot_flags::unloading> {};
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
        : boost::mpl::vector<row<absent, slot_events::load_started, loading>,
                             row<absent, slot_events::reported_resident, resident>,
                             row<loading, slot_events::load_succeeded, resident>,
                             row<loading, slot_events::load_failed, absent>,
                             row<resident, slot_events::unload_started, unloading, none, unpinned>,
                             row<resident, slot_events::reported_absent, absent, none, unpinned>,
                             row<unloading, slot_events::unload_succeeded, absent>,
                             row<unloading, slot_events::unload_refused, resident>,
                             row<unloading, slot_events::unload_answer_lost, unload_unconfirmed>,
                             row<unload_unconfirmed, slot_events::reported_resident, resident>,
                             row<unload_unconfirmed, slot_events::reported_absent, absent>> {};

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}

    std::size_t pins = 0;
    bool takeover_pin = false; ///< One of `pins` protects requests of a former owner.
    bool unusable = false;     ///< An order of a former owner may still unload it.
};

using adapter_slot = boost::msm::back::state_machine<adapter_slot_definition>;

} // namespace dragonflystair::policy
