#pragma once

#include "dragonflystair/config/address.h"
#include "dragonflystair/support/finding.h"

#include "ini_document.h"

#include <chrono>
#include <cstddef>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// Reads the typed values of one section and reports invalid ones. The keys that were requested are
/// the known keys; `finish` reports all others.
class section_reader {
public:
    /// Reports duplicate keys; the first value is used.
    section_reader(const ini_section& section, std::string file, support::findings& findings);

    /// Marks a key as known and returns its entry, or null if it is missing.
    const ini_entry* find(std::string_view key);
    /// Like `find`, but also reports a missing key.
    const ini_entry* require(std::string_view key);

    /// Returns a required text, which must not be empty. Returns an empty string after a finding.
    std::string text(std::string_view key);
    /// Returns a required name, or an empty string after a finding.
    std::string name(std::string_view key);
    /// Returns a required `IP:PORT`, or an empty string after a finding.
    std::string address(std::string_view key, port_zero zero = port_zero::refused);
    /// Returns the names in the list of an entry. Reports invalid, empty and duplicate names and
    /// leaves them out.
    std::vector<std::string> names(const ini_entry& entry);
    /// Returns the value, which must be one of `choices`. Returns an empty string if the key is
    /// missing, or after a finding if the value is invalid.
    std::string choice(std::string_view key, std::initializer_list<std::string_view> choices);

    /// The following functions replace `value` only if the key is present and its value is valid.
    void number(std::string_view key, double& value);
    void count(std::string_view key, std::size_t largest, std::size_t& value);
    void duration(std::string_view key, std::chrono::milliseconds& value);

    /// Reports the keys that were not requested.
    void finish();

    void report(int line, std::string message);
    [[nodiscard]] const ini_section& section() const { return section_; }

private:
    const ini_section& section_;
    std::string file_;
    support::findings& findings_;
    std::set<std::string, std::less<>> known_keys_;
};

} // namespace dragonflystair::config
