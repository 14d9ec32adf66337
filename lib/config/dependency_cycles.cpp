#include "dependency_cycles.h"

#include <algorithm>
#include <set>

namespace dragonflystair::config {
namespace {

class cycle_search {
public:
    explicit cycle_search(const std::map<std::string, service>& services) : services_(services) {}

    std::vector<std::vector<std::string>> run() {
        for (const auto& [name, node] : services_) {
            search_from(name);
        }
        return std::move(cycles_);
    }

private:
    struct path_node {
        const service* current;
        std::size_t next_dependency = 0;
    };

    /// Searches depth-first with an explicit stack, since recursion over a long chain of
    /// dependencies would exhaust the call stack.
    void search_from(const std::string& start) {
        push(start);
        while (!path_.empty()) {
            auto& top = path_.back();
            if (top.next_dependency == top.current->depends_on.size()) {
                path_.pop_back();
                continue;
            }
            push(top.current->depends_on[top.next_dependency++]);
        }
    }

    void push(const std::string& name) {
        const auto on_path = std::ranges::find(
            path_, name, [](const path_node& node) -> const auto& { return node.current->name; });
        if (on_path != path_.end()) {
            record_cycle(on_path);
            return;
        }
        const auto found = services_.find(name);
        if (found != services_.end() && visited_.insert(name).second) {
            path_.push_back({&found->second});
        }
    }

    void record_cycle(std::vector<path_node>::const_iterator from) {
        std::vector<std::string> cycle;
        std::transform(from, path_.cend(), std::back_inserter(cycle),
                       [](const path_node& node) { return node.current->name; });
        cycle.push_back(from->current->name);
        cycles_.push_back(std::move(cycle));
    }

    const std::map<std::string, service>& services_;
    std::vector<path_node> path_;
    std::set<std::string> visited_;
    std::vector<std::vector<std::string>> cycles_;
};

} // namespace

std::vector<std::vector<std::string>>
dependency_cycles(const std::map<std::string, service>& services) {
    return cycle_search(services).run();
}

} // namespace dragonflystair::config
