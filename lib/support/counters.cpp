#include "dragonflystair/support/counters.h"

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <utility>

namespace dragonflystair::support {

struct counters::impl {
    mutable std::mutex mutex;
    std::map<std::pair<std::string, std::string>, std::uint64_t> values;
    std::map<std::string, double> gauges;
};

counters::counters() : impl_(std::make_unique<impl>()) {}
counters::~counters() = default;

void counters::increment(std::string_view family, std::string_view reason, std::uint64_t by) {
    const std::lock_guard lock(impl_->mutex);
    impl_->values[{std::string(family), std::string(reason)}] += by;
}

void counters::set_gauge(std::string_view family, double value) {
    const std::lock_guard lock(impl_->mutex);
    impl_->gauges[std::string(family)] = value;
}

std::uint64_t counters::value(std::string_view family, std::string_view reason) const {
    const std::lock_guard lock(impl_->mutex);
    const auto found = impl_->values.find({std::string(family), std::string(reason)});
    return found == impl_->values.end() ? 0 : found->second;
}

std::string counters::render() const {
    const std::lock_guard lock(impl_->mutex);
    std::string out;
    std::string previous;
    for (const auto& [name, count] : impl_->values) {
        const auto& [family, reason] = name;
        if (family != previous) {
            out += fmt::format("# TYPE dragonflystair_{} counter\n", family);
            previous = family;
        }
        const auto label = reason.empty() ? "" : fmt::format("{{reason=\"{}\"}}", reason);
        out += fmt::format("dragonflystair_{}{} {}\n", family, label, count);
    }
    for (const auto& [family, value] : impl_->gauges) {
        out +=
            fmt::format("# TYPE dragonflystair_{0} gauge\ndragonflystair_{0} {1}\n", family, value);
    }
    return out;
}

} // namespace dragonflystair::support
