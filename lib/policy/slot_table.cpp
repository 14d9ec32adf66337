#include "dragonflystair/policy/slot_table.h"

#include "adapter_slot.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace dragonflystair::policy {

namespace {

bool is_absent(const adapter_slot& slot) {
    return !slot.is_flag_active<slot_flags::loading>() &&
           !slot.is_flag_active<slot_flags::resident>() &&
           !slot.is_flag_active<slot_flags::unloading>();
}

bool is_resident(const adapter_slot& slot) {
    return slot.is_flag_active<slot_flags::resident>();
}

template <class Event> bool accepted(adapter_slot& slot, const Event& event) {
    return slot.process_event(event) == boost::msm::back::HANDLED_TRUE;
}

bool contains(std::span<const std::string> names, std::string_view name) {
    return std::ranges::find(names, name) != names.end();
}

void drop_takeover_pin(adapter_slot& slot) {
    if (!slot.takeover_pin) {
        return;
    }
    slot.takeover_pin = false;
    --slot.pins;
}

} // namespace

struct slot_table::impl {
    std::size_t slots;
    // Contains every adapter that is not absent, and absent ones that are marked unusable.
    std::map<std::string, adapter_slot, std::less<>> entries;

    adapter_slot* find(std::string_view adapter) {
        const auto found = entries.find(adapter);
        return found == entries.end() ? nullptr : &found->second;
    }

    adapter_slot& entry(std::string_view adapter) {
        const auto [it, inserted] = entries.try_emplace(std::string(adapter));
        if (inserted) {
            it->second.start();
        }
        return it->second;
    }

    template <class Event> bool apply(std::string_view adapter, const Event& event) {
        auto* slot = find(adapter);
        if (slot == nullptr) {
            return false;
        }
        const bool changed = accepted(*slot, event);
        erase_if_absent(adapter);
        return changed;
    }

    void erase_if_absent(std::string_view adapter) {
        const auto it = entries.find(adapter);
        if (it == entries.end() || !is_absent(it->second)) {
            return;
        }
        it->second.pins = 0;
        it->second.takeover_pin = false;
        if (!it->second.unusable) {
            entries.erase(it);
        }
    }

    [[nodiscard]] std::size_t used() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            entries, [](const auto& item) { return !is_absent(item.second); }));
    }
};

slot_table::slot_table(std::size_t slots) : impl_(std::make_unique<impl>()) {
    impl_->slots = slots;
}
slot_table::~slot_table() = default;
slot_table::slot_table(slot_table&&) noexcept = default;
slot_table& slot_table::operator=(slot_table&&) noexcept = default;

slot_state slot_table::state(std::string_view adapter) const {
    const auto* slot = impl_->find(adapter);
    if (slot == nullptr || is_absent(*slot)) {
        return slot_state::absent;
    }
    if (slot->is_flag_active<slot_flags::loading>()) {
        return slot_state::loading;
    }
    return is_resident(*slot) ? slot_state::resident : slot_state::unloading;
}

std::size_t slot_table::slots() const {
    return impl_->slots;
}

void slot_table::resize(std::size_t slots) {
    impl_->slots = slots;
}

std::size_t slot_table::free_slots() const {
    const auto used = impl_->used();
    return used >= impl_->slots ? 0 : impl_->slots - used;
}

std::vector<std::string> slot_table::resident() const {
    std::vector<std::string> names;
    for (const auto& [name, slot] : impl_->entries) {
        if (is_resident(slot)) {
            names.push_back(name);
        }
    }
    return names;
}

bool slot_table::pin(std::string_view adapter) {
    if (!usable(adapter)) {
        return false;
    }
    ++impl_->find(adapter)->pins;
    return true;
}

void slot_table::unpin(std::string_view adapter) {
    auto* slot = impl_->find(adapter);
    if (slot == nullptr) {
        return;
    }
    const std::size_t takeover_pins = slot->takeover_pin ? 1 : 0;
    // An engine restart drops all pins, so an unpin for an earlier request may find none.
    if (slot->pins > takeover_pins) {
        --slot->pins;
    }
}

std::size_t slot_table::pins(std::string_view adapter) const {
    const auto* slot = impl_->find(adapter);
    return slot == nullptr ? 0 : slot->pins;
}

bool slot_table::usable(std::string_view adapter) const {
    const auto* slot = impl_->find(adapter);
    return slot != nullptr && is_resident(*slot) && !slot->unusable;
}

bool slot_table::marked_unusable(std::string_view adapter) const {
    const auto* slot = impl_->find(adapter);
    return slot != nullptr && slot->unusable;
}

bool slot_table::begin_load(std::string_view adapter) {
    if (free_slots() == 0 || marked_unusable(adapter)) {
        return false;
    }
    return accepted(impl_->entry(adapter), slot_events::load_started{});
}

void slot_table::end_load(std::string_view adapter, bool loaded) {
    if (loaded) {
        impl_->apply(adapter, slot_events::load_succeeded{});
        return;
    }
    impl_->apply(adapter, slot_events::load_failed{});
}

bool slot_table::begin_unload(std::string_view adapter) {
    return impl_->apply(adapter, slot_events::unload_started{});
}

void slot_table::end_unload(std::string_view adapter, std::optional<bool> unloaded) {
    if (!unloaded) {
        impl_->apply(adapter, slot_events::unload_answer_lost{});
        return;
    }
    if (*unloaded) {
        impl_->apply(adapter, slot_events::unload_succeeded{});
        return;
    }
    impl_->apply(adapter, slot_events::unload_refused{});
}

std::optional<std::string>
slot_table::victim(const std::function<double(std::string_view adapter)>& value) const {
    std::optional<std::string> lowest;
    double lowest_value = 0;
    for (const auto& [name, slot] : impl_->entries) {
        if (!is_resident(slot) || slot.pins > 0) {
            continue;
        }
        const double candidate = value(name);
        if (!lowest || candidate < lowest_value) {
            lowest = name;
            lowest_value = candidate;
        }
    }
    return lowest;
}

void slot_table::clear() {
    impl_->entries.clear();
}

void slot_table::adopt(std::span<const std::string> resident) {
    for (const auto& name : resident) {
        auto& slot = impl_->entry(name);
        slot.process_event(slot_events::reported_resident{});
        if (is_resident(slot) && !slot.takeover_pin) {
            slot.takeover_pin = true;
            ++slot.pins;
        }
    }
}

void slot_table::release_takeover_pins(std::span<const std::string> idle) {
    for (auto& [name, slot] : impl_->entries) {
        if (contains(idle, name)) {
            drop_takeover_pin(slot);
        }
    }
}

std::vector<std::string> slot_table::takeover_pinned() const {
    std::vector<std::string> names;
    for (const auto& [name, slot] : impl_->entries) {
        if (slot.takeover_pin) {
            names.push_back(name);
        }
    }
    return names;
}

void slot_table::set_unusable(std::string_view adapter, bool unusable) {
    if (unusable) {
        impl_->entry(adapter).unusable = true;
        return;
    }
    if (auto* slot = impl_->find(adapter)) {
        slot->unusable = false;
        impl_->erase_if_absent(adapter);
    }
}

void slot_table::reconcile(std::span<const std::string> reported,
                           std::span<const std::string> unsettled) {
    for (const auto& name : reported) {
        if (!contains(unsettled, name)) {
            impl_->entry(name).process_event(slot_events::reported_resident{});
        }
    }
    std::vector<std::string> missing;
    for (const auto& [name, slot] : impl_->entries) {
        if (!contains(reported, name) && !contains(unsettled, name)) {
            missing.push_back(name);
        }
    }
    for (const auto& name : missing) {
        impl_->apply(name, slot_events::reported_absent{});
    }
}

} // namespace dragonflystair::policy
