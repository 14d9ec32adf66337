#include "make_part.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace dragonflystair::stand_ins {

namespace {

/// The platform's list of VMs. It starts with all stand-ins that have a service; a change becomes
/// visible after `lag`.
class vm_list_part : public part {
public:
    vm_list_part(const asio::any_io_executor& context, section& settings)
        : part(context, settings),
          lag_(settings.duration("lag", std::chrono::milliseconds{2'000})) {
        on_control("leaving", [this](const json& id) {
            json changed = vms_.at(id.get<std::string>());
            changed["state"] = "leaving";
            apply_later([this, changed] { vms_[changed.at("id")] = changed; });
        });
        on_control("remove", [this](const json& id) {
            apply_later([this, gone = id.get<std::string>()] { vms_.erase(gone); });
        });
        on_control("add", [this](const json& value) {
            json added{{"state", "live"}};
            added.update(value);
            for (const auto* key : {"id", "address", "data_centre", "service"}) {
                static_cast<void>(added.at(key));
            }
            apply_later([this, added] { vms_[added.at("id")] = added; });
        });
    }

    void connect(const parts& all) override {
        for (const auto& [name, item] : all) {
            if (const auto vm = item->vm_list_entry();
                !vm.at("service").get<std::string>().empty()) {
                vms_[name] = vm;
            }
        }
    }

private:
    awaitable<json> handle(exchange& call) override {
        if (!call.is(http::verb::get, "/v1/vms")) {
            refuse(http::status::not_found, "no such path");
        }
        json listed{{"vms", json::array()}};
        for (const auto& [id, vm] : vms_) {
            listed["vms"].push_back(vm);
        }
        co_return listed;
    }

    void apply_later(std::function<void()> change) {
        asio::co_spawn(context(), apply_after_lag(shared_from_this(), std::move(change)),
                       asio::detached);
    }

    /// The `self` argument keeps the object alive during the delay.
    awaitable<void> apply_after_lag(std::shared_ptr<part> /*self*/, std::function<void()> change) {
        co_await sleep(lag_);
        change();
    }

    std::chrono::milliseconds lag_;
    std::map<std::string, json> vms_;
};

} // namespace

std::shared_ptr<part> make_vm_list(const asio::any_io_executor& context, section& settings) {
    return std::make_shared<vm_list_part>(context, settings);
}

} // namespace dragonflystair::stand_ins
