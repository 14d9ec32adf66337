#pragma once

#include <span>
#include <string>
#include <vector>

namespace dragonflystair::support {

/// One property of an entry of a configuration, in words.
struct described_field {
    std::string name;
    std::string value;   ///< Empty if the property is not set.
    bool secret = false; ///< The value is compared but never printed.
};

struct described_entry {
    std::string name; ///< Kind and name, such as `route 'chat'`; identifies the entry.
    std::vector<described_field> fields;
};

/// Describes how the entries `to` differ from the entries `from`, one line each: `added: NAME`,
/// `changed: NAME: FIELD from VALUE to VALUE; ...` and `removed: NAME`.
std::vector<std::string> differences(std::span<const described_entry> from,
                                     std::span<const described_entry> to);

} // namespace dragonflystair::support
