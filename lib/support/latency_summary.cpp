#include "dragonflystair/support/latency_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <array>
#include <mutex>

namespace dragonflystair::support {

namespace {

namespace acc = boost::accumulators;
constexpr std::array probabilities{0.5, 0.95, 0.99};
using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

} // namespace

struct latency_summary::impl {
    mutable std::mutex mutex;
    accumulator samples{acc::extended_p_square_probabilities = probabilities};
};

latency_summary::latency_summary() : impl_(std::make_unique<impl>()) {}
latency_summary::~latency_summary() = default;

void latency_summary::record(duration sample) {
    const std::lock_guard lock(impl_->mutex);
    impl_->samples(std::chrono::duration<double>(sample).count());
}

void latency_summary::render(std::string_view family, std::string& out) const {
    const std::lock_guard lock(impl_->mutex);
    out += fmt::format("# TYPE dragonflystair_{} summary\n", family);
    // The estimate is undefined before there is a sample for each of its markers.
    if (acc::count(impl_->samples) >= 2 * probabilities.size() + 3) {
        for (std::size_t i = 0; i < probabilities.size(); ++i) {
            out += fmt::format("dragonflystair_{}{{quantile=\"{}\"}} {:.6f}\n", family,
                               probabilities[i], acc::extended_p_square(impl_->samples)[i]);
        }
    }
    out += fmt::format("dragonflystair_{}_sum {:.6f}\n", family, acc::sum(impl_->samples));
    out += fmt::format("dragonflystair_{}_count {}\n", family, acc::count(impl_->samples));
}

} // namespace dragonflystair::support
