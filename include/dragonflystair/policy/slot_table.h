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

    /// The engine reported another number of slots. Nothing is dropped when there are fewer.
    void resize(std::size_t slots);
    [[nodiscard]] std::size_t free_slots() const;
    [[nodiscard]] std::vector<std::string> resident() const;

    /// Pins a resident adapter; false if it is not resident or not usable.
    bool pin(std::string_view adapter);
    void unpin(std::string_view adapter);
    [[nodiscard]] std::size_t pins(std::string_view adapter) const;

    /// Whether `pin` would succeed.
    [[nodiscard]] bool usable(std::string_view adapter) const;

    /// Whether `set_unusable` forbids it.
    [[nodiscard]] bool forbidden(std::string_view adapter) const;

    /// Takes a free slot; false if there is none, the adapter is not absent or it is forbidden.
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

    /// Adapters that are still pinned by the takeover.
    [[nodiscard]] std::vector<std::string> takeover_pinned() const;

    /// Forbids the use of an adapter that an earlier session may still unload, and allows it again.
    void set_unusable(std::string_view adapter, bool unusable);

    /// Compares with a report of the engine: resolves slots in doubt, drops adapters that are gone
    /// and takes in those that a load with a lost answer left there. Adapters in `unsettled`
    /// changed less than the report lag ago, so the report says nothing about them.
    void reconcile(std::span<const std::string> reported,
                   std::span<const std::string> unsettled = {});

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::policy
