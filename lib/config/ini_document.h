#pragma once

#include <string>
#include <vector>

namespace dragonflystair::config {

/// One `key = value` with its line number; line 0 if it was not parsed from a text.
struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;
};

/// One section with its entries in the order of the text.
struct ini_section {
    std::string name; ///< The words between the brackets, joined by single spaces.
    int line = 0;
    std::vector<ini_entry> entries;
    /// A line of the section could not be parsed, so a key that seems to be missing may be on it.
    bool has_unreadable_line = false;
};

/// A parsed INI text. A section that occurs twice in the text is listed twice.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
    /// A heading could not be parsed, so a section that seems to be missing may have been that one.
    bool has_unreadable_heading = false;
};

} // namespace dragonflystair::config
