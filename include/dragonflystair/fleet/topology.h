#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::fleet {

/// Data centres with their regions, and the distances from one of them.
class topology {
public:
    topology() = default;
    topology(std::string own_data_centre, std::map<std::string, std::string, std::less<>> regions);

    enum class distance { same_data_centre, same_region, other_region };
    [[nodiscard]] distance distance_to(std::string_view data_centre) const;
    [[nodiscard]] const std::string& own() const { return own_; }
    /// Returns the region of a data centre; empty if unknown.
    [[nodiscard]] std::string_view region_of(std::string_view data_centre) const;
    [[nodiscard]] const std::map<std::string, std::string, std::less<>>& regions() const {
        return regions_;
    }

private:
    std::string own_;
    std::map<std::string, std::string, std::less<>> regions_;
};

} // namespace dragonflystair::fleet
