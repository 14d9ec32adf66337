#include "vm_list_part.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <stdexcept>

namespace dragonflystair::stand_ins {

vm_list_part::vm_list_part(asio::any_io_executor context, section& settings)
    : part(std::move(context), settings),
      lag_(settings.duration("lag", std::chrono::milliseconds{2'000})) {
    on_control("leaving", [this](const json& value) {
        const auto id = value.get<std::string>();
        if (!vms_.contains(id)) {
            throw std::runtime_error(fmt::format("no VM '{}'", id));
        }
        apply_later([this, id] {
            if (const auto found = vms_.find(id); found != vms_.end()) {
                found->second["state"] = "leaving";
            }
        });
    });
    on_control("remove", [this](const json& value) {
        apply_later([this, id = value.get<std::string>()] { vms_.erase(id); });
    });
    on_control("add", [this](const json& value) {
        json added = value;
        added.emplace("state", "live");
        for (const auto* key : {"id", "address", "data_centre", "service"}) {
            if (!added.contains(key)) {
                throw std::runtime_error(fmt::format("a VM needs '{}'", key));
            }
        }
        apply_later([this, added] { vms_[added.at("id").get<std::string>()] = added; });
    });
}

void vm_list_part::list(const std::string& id, const std::string& address,
                        const std::string& data_centre, const std::string& service) {
    vms_[id] = {{"id", id},
                {"address", address},
                {"data_centre", data_centre},
                {"service", service},
                {"state", "live"}};
}

awaitable<void> vm_list_part::handle(exchange& call) {
    if (!call.is(http::verb::get, "/v1/vms")) {
        co_await call.refuse(http::status::not_found, "no such path");
        co_return;
    }
    auto listed = json::array();
    for (const auto& [id, vm] : vms_) {
        listed.push_back(vm);
    }
    const json answer{{"vms", listed}};
    co_await call.respond(http::status::ok, answer);
}

void vm_list_part::apply_later(std::function<void()> change) {
    asio::co_spawn(context(), apply_after_lag(shared_from_this(), std::move(change)),
                   asio::detached);
}

awaitable<void> vm_list_part::apply_after_lag(std::shared_ptr<part> /*self*/,
                                              std::function<void()> change) {
    co_await sleep(lag_);
    change();
}

} // namespace dragonflystair::stand_ins
