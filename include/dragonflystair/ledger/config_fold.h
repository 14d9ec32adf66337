#pragma once

#include "dragonflystair/ledger/duplicate_filter.h"
#include "dragonflystair/ledger/stream_entry.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace dragonflystair::ledger {

/// A section in force and the position of the change that set it.
struct section_state {
    section values;
    position revision = 0;
    bool operator==(const section_state&) const = default;
};

/// One decided change for `history`.
struct change_outcome {
    position at = 0;
    position base = 0;
    std::string author;
    std::vector<std::string> sections;
    std::vector<std::string> conflicts; ///< Sections that made it lose; empty if accepted.
};

/// Fold of the stream `config`. A change is accepted if none of its sections, nor a section that
/// they refer to, has a revision above the change's base.
class config_fold {
public:
    void apply(const stream_entry& entry);

    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

    /// Position of the last accepted change; 0 before the first.
    [[nodiscard]] position revision() const { return revision_; }
    [[nodiscard]] const std::map<std::string, section_state>& sections() const { return sections_; }

    /// The last decided changes, newest last, at most `max_history`.
    [[nodiscard]] const std::deque<change_outcome>& history() const { return history_; }
    static constexpr std::size_t max_history = 100;

    [[nodiscard]] support::json state() const;
    void restore(const support::json& state);

private:
    void apply_change(position place, const config_change& change);

    std::uint64_t next_offset_ = 0;
    position revision_ = 0;
    duplicate_filter duplicates_;
    std::map<std::string, section_state> sections_;
    std::map<std::string, position> removed_; ///< Revision at which a section was removed.
    std::deque<change_outcome> history_;
};

/// Names of the sections that a section refers to: data centres and services of a service, the
/// service of an adapter.
std::vector<std::string> references(const std::string& name, const section& values);

} // namespace dragonflystair::ledger
