#pragma once

#include "dragonflystair/support/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::policy {

/// State of one adapter on one endpoint.
enum class slot_state { absent, loading, resident, unloading };

/// The adapter slots of one endpoint. A pinned adapter is never chosen for eviction, and an adapter
/// that is being unloaded cannot be pinned.
class slot_table {
public:
    explicit slot_table(std::size_t slots);
    ~slot_table();
    slot_table(const slot_table&) = delete;
    slot_table& operator=(const slot_table&) = delete;
    slot_table(slot_table&&) noexcept;
    slot_table& operator=(slot_table&&) noexcept;

    [[nodiscard]] slot_state state(std::string_view adapter) const;
    [[nodiscard]] std::size_t slots() const;

    /// Sets the number of slots that the engine reports. Adapters stay resident when there are
    /// fewer.
    void resize(std::size_t slots);
    [[nodiscard]] std::size_t free_slots() const;
    [[nodiscard]] std::vector<std::string> resident() const;

    /// Pins a resident adapter; returns false if it is not resident or is marked unusable.
    bool pin(std::string_view adapter);
    void unpin(std::string_view adapter);
    [[nodiscard]] std::size_t pins(std::string_view adapter) const;

    /// Returns whether `pin` would succeed.
    [[nodiscard]] bool usable(std::string_view adapter) const;

    /// Returns whether the adapter is marked by `set_unusable`.
    [[nodiscard]] bool marked_unusable(std::string_view adapter) const;

    /// Reserves a free slot; returns false if there is none, the adapter is not absent or it is
    /// marked unusable.
    bool begin_load(std::string_view adapter);
    void end_load(std::string_view adapter, bool loaded);

    /// Returns false for an adapter that is pinned or not resident.
    bool begin_unload(std::string_view adapter);

    /// `unloaded` is empty when the answer to the unload order was lost: the adapter then keeps its
    /// slot but is unusable until an engine report shows whether it is still loaded.
    void end_unload(std::string_view adapter, std::optional<bool> unloaded);

    /// Returns the unpinned resident adapter with the lowest value, or nothing.
    [[nodiscard]] std::optional<std::string>
    victim(const std::function<double(std::string_view adapter)>& value) const;

    /// Clears the table after an engine restart: every slot becomes free and all pins are dropped.
    void clear();

    /// Makes the adapters that the engine reports resident when this node takes over the endpoint.
    /// Each gets one takeover pin, since streams of the former owner may still use it.
    void adopt(std::span<const std::string> resident);

    /// Removes the takeover pins of adapters without running requests, as shown by a report that is
    /// newer than the takeover.
    void release_takeover_pins(std::span<const std::string> idle);

    /// Returns the adapters that still have a takeover pin.
    [[nodiscard]] std::vector<std::string> takeover_pinned() const;

    /// Marks an adapter that an order of an earlier session may still unload, or removes the mark.
    /// A marked adapter is neither pinned nor loaded.
    void set_unusable(std::string_view adapter, bool unusable);

    /// Applies an engine report: resolves unloads whose answer was lost, removes adapters that are
    /// no longer loaded and adds those that a load with a lost answer left on the engine. The
    /// report is ignored for adapters in `unsettled`, whose state it may not show yet.
    void reconcile(std::span<const std::string> reported,
                   std::span<const std::string> unsettled = {});

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::policy
