#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::stand_ins {

/// A section `[KIND]` or `[KIND NAME]` of the settings. Accessors remove the key that they read, so
/// that the remaining keys are unknown ones. They throw std::runtime_error for an invalid value.
class section {
public:
    explicit section(std::string_view heading);

    [[nodiscard]] const std::string& kind() const { return kind_; }
    /// Returns the name, or the kind for a section without a name.
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& heading() const { return heading_; }
    void set(const std::string& key, std::string value) { values_[key] = std::move(value); }

    std::string text(const std::string& key, std::string fallback);
    std::uint64_t number(const std::string& key, std::uint64_t fallback);
    /// Returns a duration, written with its unit, such as `250ms` or `2s`.
    std::chrono::milliseconds duration(const std::string& key, std::chrono::milliseconds fallback);
    bool yes_or_no(const std::string& key, bool fallback);

    /// Throws std::runtime_error if a key was never read, which is usually a misspelling.
    void check_all_used() const;

private:
    std::uint64_t quantity(const std::string& key, const std::string& value,
                           const std::map<std::string_view, std::uint64_t>& units) const;

    std::string heading_;
    std::string kind_;
    std::string name_;
    std::map<std::string, std::string> values_;
};

/// Reads the settings file. A section without keys is ignored. Throws std::runtime_error with the
/// file and line of a syntax error.
std::vector<section> read_settings(const std::string& file);

} // namespace dragonflystair::stand_ins
