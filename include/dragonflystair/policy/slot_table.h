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
    slot_table(slot_table&&) noexcept;
    slot_table& operator=(slot_table&&) noexcept;

    [[nodiscard]] slot_state state(std::string_view adapter) const;
    [[nodiscard]] std::size_t slots() const;
    [[nodiscard]] std::size_t free_slots() const;
    [[nodiscard]] std::vector<std::string> resident() const;

    /// Pins a resident adapter; false if it is not resident or not usable.
    bool pin(std::string_view adapter);
    void unpin(std::string_view adapter);
    [[nodiscard]] std::size_t pins(std::string_view adapter) const;

    /// Takes a free slot; false if there is none or the adapter is not absent.
    bool begin_load(std::string_view adapter);
    void end_load(std::string_view adapter, bool loaded);

    /// Fails for a pinned or absent adapter.
    bool begin_unload(std::string_view adapter);

    /// `unloaded` is empty when the answer was lost: the adapter then stays unusable in its slot
    /// until a report of the engine shows whether it is there.
    void end_unload(std::string_view adapter, std::optional<bool> unloaded);

    /// Unpinned resident adapter with the lowest value, or nothing.
    [[nodiscard]] std::optional<std::string>
    victim(const std::function<double(std::string_view adapter)>& value) const;

    /// The engine restarted empty: every slot is free, pins are dropped.
    void clear();

    /// Takes over an endpoint: what the engine reports is resident and pinned once by "takeover".
    void adopt(std::span<const std::string> resident);

    /// A report newer than the takeover shows which adapters run nothing.
    void release_takeover_pins(std::span<const std::string> idle);

    /// Forbids the use of an adapter that an earlier session may still unload, and allows it again.
    void set_unusable(std::string_view adapter, bool unusable);

    /// Compares with a report of the engine: resolves slots in doubt, drops adapters that are gone.
    void reconcile(std::span<const std::string> reported);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::policy
