#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::stand_ins {

/// One section `[KIND]` or `[KIND NAME]` of the settings. Accessors throw std::runtime_error when a
/// value cannot be read.
class section {
public:
    section(std::string kind, std::string name) : kind_(std::move(kind)), name_(std::move(name)) {}

    [[nodiscard]] const std::string& kind() const { return kind_; }
    /// The name, or the kind for a section without name.
    [[nodiscard]] const std::string& name() const { return name_.empty() ? kind_ : name_; }
    void set(const std::string& key, std::string value) { values_[key] = std::move(value); }

    std::string text(const std::string& key, std::string_view fallback);
    std::uint64_t number(const std::string& key, std::uint64_t fallback);
    bool yes_or_no(const std::string& key, bool fallback);
    /// A duration with its unit, such as `250ms` or `2s`.
    std::chrono::milliseconds duration(const std::string& key, std::chrono::milliseconds fallback);
    /// Values separated by commas.
    std::vector<std::string> list(const std::string& key, std::string_view fallback);

    /// Throws if a key was never asked for, which is usually a misspelled one.
    void check_all_used() const;

private:
    [[noreturn]] void fail(const std::string& key, std::string_view expected) const;

    std::string kind_;
    std::string name_;
    std::map<std::string, std::string> values_;
    std::set<std::string> used_;
};

/// Reads the settings file. Throws std::runtime_error naming the file and line of a syntax error.
std::vector<section> read_settings(const std::string& file);

} // namespace dragonflystair::stand_ins
