#include "dragonflystair/fleet/topology.h"

#include <utility>

namespace dragonflystair::fleet {

topology::topology(std::string own_data_centre,
                   std::map<std::string, std::string, std::less<>> regions)
    : own_(std::move(own_data_centre)), regions_(std::move(regions)) {}

std::string_view topology::region_of(std::string_view data_centre) const {
    const auto found = regions_.find(data_centre);
    return found == regions_.end() ? std::string_view{} : std::string_view{found->second};
}

topology::distance topology::distance_to(std::string_view data_centre) const {
    if (data_centre == own_) {
        return distance::same_data_centre;
    }
    const auto region = region_of(data_centre);
    return !region.empty() && region == region_of(own_) ? distance::same_region
                                                        : distance::other_region;
}

} // namespace dragonflystair::fleet
