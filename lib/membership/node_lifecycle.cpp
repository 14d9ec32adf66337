#include "dragonflystair/membership/node_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cstddef>

namespace dragonflystair::membership {

namespace {

namespace front = boost::msm::front;

struct log_caught_up {};
struct contact_lost {};
struct reconnected {};
struct stop_requested {};
struct drained {};

// MSM numbers states in the order of their first appearance in the transition table, sources before
// targets.
constexpr std::size_t serving_index = 1;
constexpr std::size_t draining_index = 3;
constexpr std::array<std::string_view, 5> state_names{"starting", "serving", "isolated", "draining",
                                                      "stopped"};

struct lifecycle_definition : front::state_machine_def<lifecycle_definition> {
    struct starting : front::state<> {};
    struct serving : front::state<> {};
    struct isolated : front::state<> {};
    struct draining : front::state<> {};
    struct stopped : front::state<> {};
    using initial_state = starting;

    struct transition_table : boost::mpl::vector<front::Row<starting, log_caught_up, serving>,
                                                 front::Row<starting, stop_requested, draining>,
                                                 front::Row<serving, contact_lost, isolated>,
                                                 front::Row<serving, stop_requested, draining>,
                                                 front::Row<isolated, reconnected, serving>,
                                                 front::Row<isolated, stop_requested, draining>,
                                                 front::Row<draining, drained, stopped>> {};

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}
};

using machine = boost::msm::back::state_machine<lifecycle_definition>;

} // namespace

struct node_lifecycle::impl {
    explicit impl(change_hook hook) : on_change(std::move(hook)) { states.start(); }

    [[nodiscard]] std::size_t index() const {
        return static_cast<std::size_t>(states.current_state()[0]);
    }

    template <class Event> void process(const Event& event) {
        const auto before = index();
        states.process_event(event);
        if (index() != before && on_change) {
            on_change(state_names.at(before), state_names.at(index()));
        }
    }

    machine states;
    change_hook on_change;
};

node_lifecycle::node_lifecycle(change_hook on_change)
    : impl_(std::make_unique<impl>(std::move(on_change))) {}
node_lifecycle::~node_lifecycle() = default;

void node_lifecycle::on_log_caught_up() {
    impl_->process(log_caught_up{});
}
void node_lifecycle::on_isolated() {
    impl_->process(contact_lost{});
}
void node_lifecycle::on_reconnected() {
    impl_->process(reconnected{});
}
void node_lifecycle::on_stop_requested() {
    impl_->process(stop_requested{});
}
void node_lifecycle::on_drained() {
    impl_->process(drained{});
}

bool node_lifecycle::accepts_callers() const {
    return impl_->index() == serving_index;
}
bool node_lifecycle::draining() const {
    return impl_->index() == draining_index;
}
std::string_view node_lifecycle::state_name() const {
    return state_names.at(impl_->index());
}

} // namespace dragonflystair::membership
