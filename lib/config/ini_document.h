#pragma once

#include <string>
#include <vector>

namespace dragonflystair::config {

/// One `key = value` with its line; line 0 if it did not come from a text.
struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;
};

/// One section with its keys in the order of the text.
struct ini_section {
    std::string name; ///< The words in the brackets, joined by single spaces.
    int line = 0;
    std::vector<ini_entry> entries;
    /// A line of it could not be read, so a key that seems to be missing may be on that line.
    bool damaged = false;
};

/// A text as read. A section that occurs twice is in it twice.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
    /// A heading could not be read, so a section that seems to be missing may be that one.
    bool damaged_heading = false;
};

} // namespace dragonflystair::config
