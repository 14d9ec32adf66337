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

/// Reads the typed values of one section and reports what is wrong with them. The keys that were
/// asked for are the known ones; `finish` reports the others.
class section_reader {
public:
    /// Reports keys that occur twice; the first value counts.
    section_reader(const ini_section& section, std::string file, support::findings& findings);

    /// Marks a key as known and returns its entry, or null.
    const ini_entry* find(std::string_view key);
    /// As `find`, and reports a missing key.
    const ini_entry* require(std::string_view key);

    /// Required text that is not empty; empty after a finding.
    std::string text(std::string_view key);
    /// Required name; empty after a finding.
    std::string name(std::string_view key);
    /// Required `IP:PORT`; empty after a finding.
    std::string address(std::string_view key, port_zero zero = port_zero::refused);
    /// Names of an entry without repetition; reports bad, empty and repeated items.
    std::vector<std::string> names(const ini_entry& entry);
    /// The value, which must be one of `choices`, or an empty string if absent or wrong.
    std::string choice(std::string_view key, std::initializer_list<std::string_view> choices);

    /// The following replace `value` only if the key is there and right.
    void number(std::string_view key, double& value);
    void count(std::string_view key, std::size_t largest, std::size_t& value);
    void duration(std::string_view key, std::chrono::milliseconds& value);

    /// Reports keys that nothing asked for.
    void finish();

    void report(int line, std::string message);
    [[nodiscard]] const ini_section& section() const { return section_; }

private:
    const ini_section& section_;
    std::string file_;
    support::findings& findings_;
    std::set<std::string, std::less<>> known_;
};

} // namespace dragonflystair::config
