#include "dragonflystair/support/latency_histogram.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <mutex>

namespace dragonflystair::support {

namespace {

namespace bh = boost::histogram;

/// Bounds in seconds: from the shortest response time of a plain endpoint to beyond the longest
/// timeout of a route.
constexpr unsigned buckets = 15;
constexpr double lowest_seconds = 0.001;
constexpr double highest_seconds = 32.768;

auto make_histogram() {
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
        buckets, lowest_seconds, highest_seconds));
}

} // namespace

struct latency_histogram::impl {
    mutable std::mutex mutex;
    decltype(make_histogram()) samples = make_histogram();
    double sum = 0;
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration sample) {
    const auto seconds = std::chrono::duration<double>(sample).count();
    const std::lock_guard lock(impl_->mutex);
    impl_->samples(seconds);
    impl_->sum += seconds;
}

void latency_histogram::render(std::string_view family, std::string& out) const {
    const std::lock_guard lock(impl_->mutex);
    out += fmt::format("# TYPE dragonflystair_{} histogram\n", family);
    // The first bucket includes the samples below the lowest bound.
    auto count = static_cast<std::uint64_t>(static_cast<double>(impl_->samples.at(-1)));
    const auto& axis = impl_->samples.axis();
    for (int i = 0; i < axis.size(); ++i) {
        count += static_cast<std::uint64_t>(static_cast<double>(impl_->samples.at(i)));
        out += fmt::format("dragonflystair_{}_bucket{{le=\"{:.3f}\"}} {}\n", family,
                           axis.bin(i).upper(), count);
    }
    count += static_cast<std::uint64_t>(static_cast<double>(impl_->samples.at(axis.size())));
    out += fmt::format("dragonflystair_{0}_bucket{{le=\"+Inf\"}} {1}\ndragonflystair_{0}_sum "
                       "{2:.6f}\ndragonflystair_{0}_count {1}\n",
                       family, count, impl_->sum);
}

} // namespace dragonflystair::support
