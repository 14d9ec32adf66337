#include "dragonflystair/fleet/full_data_centres.h"

#include <chrono>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Time for which a data centre without a free slot gets no further calls. An endpoint of 6 slots
/// and 60 ms per call frees four slots in that time, so it does not become idle.
constexpr milliseconds full_lifetime{40};

} // namespace

void full_data_centres::on_full(std::string_view service, std::string_view data_centre,
                                time_point now) {
    full_since_.insert_or_assign({std::string(service), std::string(data_centre)}, now);
}

void full_data_centres::on_placed(std::string_view service, std::string_view data_centre) {
    full_since_.erase({std::string(service), std::string(data_centre)});
}

std::set<std::string, std::less<>> full_data_centres::of(std::string_view service,
                                                         time_point now) const {
    std::set<std::string, std::less<>> result;
    for (auto entry = full_since_.lower_bound({std::string(service), {}});
         entry != full_since_.end() && entry->first.first == service; ++entry) {
        if (now - entry->second < full_lifetime) {
            result.insert(entry->first.second);
        }
    }
    return result;
}

} // namespace dragonflystair::fleet
