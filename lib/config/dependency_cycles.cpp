#include "dependency_cycles.h"

#include <algorithm>
#include <set>

namespace dragonflystair::config {
namespace {

class cycle_search {
public:
    explicit cycle_search(const std::map<std::string, service>& services) : services_(services) {}

    std::vector<std::vector<std::string>> run() {
        for (const auto& [name, item] : services_) {
            search_from(name);
        }
        return std::move(cycles_);
    }

private:
    struct step {
        const service* at;
        std::size_t next_dependency = 0;
    };

    /// Depth-first with a path of its own, since a long chain would exhaust the call stack.
    void search_from(const std::string& start) {
        push(start);
        while (!path_.empty()) {
            auto& top = path_.back();
            if (top.next_dependency == top.at->depends_on.size()) {
                path_.pop_back();
                continue;
            }
            push(top.at->depends_on[top.next_dependency++]);
        }
    }

    void push(const std::string& name) {
        const auto open = std::ranges::find(
            path_, name, [](const step& item) -> const auto& { return item.at->name; });
        if (open != path_.end()) {
            record_cycle(open);
            return;
        }
        const auto place = services_.find(name);
        if (place != services_.end() && visited_.insert(name).second) {
            path_.push_back({&place->second});
        }
    }

    void record_cycle(std::vector<step>::const_iterator from) {
        std::vector<std::string> cycle;
        std::transform(from, path_.cend(), std::back_inserter(cycle),
                       [](const step& item) { return item.at->name; });
        cycle.push_back(from->at->name);
        cycles_.push_back(std::move(cycle));
    }

    const std::map<std::string, service>& services_;
    std::vector<step> path_;
    std::set<std::string> visited_;
    std::vector<std::vector<std::string>> cycles_;
};

} // namespace

std::vector<std::vector<std::string>>
dependency_cycles(const std::map<std::string, service>& services) {
    return cycle_search(services).run();
}

} // namespace dragonflystair::config
