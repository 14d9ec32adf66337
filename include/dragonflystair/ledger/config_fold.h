#pragma once

#include "dragonflystair/ledger/fold_base.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace dragonflystair::ledger {

/// A section in force with the position of the change that last set it.
struct section_state {
    section values;
    position revision = 0;
    bool operator==(const section_state&) const = default;
};

/// Outcome of one change, as kept in the history.
struct change_outcome {
    position at = 0;
    position base = 0;
    std::string author;
    std::vector<std::string> sections;
    std::vector<std::string> conflicts; ///< Sections that conflicted; empty if accepted.
    bool operator==(const change_outcome&) const = default;
};

/// Fold of the stream `config`, with optimistic concurrency control. A change is accepted if none
/// of its sections, nor a section that they refer to, nor (for a removed section) a section that
/// refers to it, has a revision above the change's base. A change whose base is not before its own
/// position is ignored.
class config_fold final : public fold_base {
public:
    /// Position of the last accepted change; 0 before the first.
    [[nodiscard]] position revision() const { return revision_; }
    [[nodiscard]] const std::map<std::string, section_state>& sections() const { return sections_; }

    /// Outcomes of the last changes, accepted and rejected, newest last, at most `max_history`.
    [[nodiscard]] const std::deque<change_outcome>& history() const { return history_; }
    static constexpr std::size_t max_history = 100;

private:
    void apply_record(position at, const record& content) override;
    void apply_change(position at, const config_change& change);
    void set_section(position at, const std::string& name, const std::optional<section>& values);
    void discard_before(std::uint64_t offset) override;
    [[nodiscard]] support::json body() const override;
    void load_body(const support::json& value) override;

    /// Returns the position of the last change of a section, removals included; 0 if it never
    /// existed.
    [[nodiscard]] position revision_of(const std::string& name) const;
    [[nodiscard]] std::vector<std::string> find_conflicts(const config_change& change) const;

    position revision_ = 0;
    std::map<std::string, section_state> sections_;
    std::map<std::string, position> removed_; ///< Revision at which a section was removed.
    std::deque<change_outcome> history_;
};

/// Returns the names of the sections that a section refers to: the data centres of a service and
/// the services it depends on, or the service of an adapter.
std::vector<std::string> references(const std::string& name, const section& values);

} // namespace dragonflystair::ledger
