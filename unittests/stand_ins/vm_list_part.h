#pragma once

#include "part.h"

#include <map>

namespace dragonflystair::stand_ins {

/// The platform's list of VMs. A change shows after the configured lag.
class vm_list_part : public part {
public:
    vm_list_part(asio::any_io_executor context, section& settings);

    /// Lists a VM from the start.
    void list(const std::string& id, const std::string& address, const std::string& data_centre,
              const std::string& service);

protected:
    awaitable<void> handle(exchange& call) override;

private:
    void apply_later(std::function<void()> change);
    /// Holds `self` so that the list outlives the wait.
    awaitable<void> apply_after_lag(std::shared_ptr<part> self, std::function<void()> change);

    std::chrono::milliseconds lag_;
    std::map<std::string, json> vms_;
};

} // namespace dragonflystair::stand_ins
