#include "dragonflystair/net/vm_list_client.h"

#include "dragonflystair/net/json_text.h"
#include "dragonflystair/net/problem.h"

#include "json_members.h"

#include <fmt/format.h>

#include <utility>

namespace dragonflystair::net {

using support::error;
using support::error_kind;

namespace {

async_result<std::vector<vm_entry>> parse_list(const std::string& body) {
    const support::json value = parse_json(body);
    json_members members(value);
    std::vector<vm_entry> entries;
    for (const auto& item : members.array("vms")) {
        json_members vm(item);
        const auto state = vm.text("state");
        if (state != "live" && state != "leaving") {
            vm.fail("state");
        }
        entries.push_back({vm.text("id"), vm.text("address"), vm.text("data_centre"),
                           vm.text("service"), state == "leaving"});
        if (!vm.ok()) {
            return vm.error();
        }
    }
    if (!members.ok()) {
        return members.error();
    }
    return entries;
}

} // namespace

vm_list_client::vm_list_client(http_client& http, std::string address)
    : http_(http), address_(std::move(address)) {}

awaitable<async_result<std::vector<vm_entry>>>
vm_list_client::list(std::chrono::milliseconds timeout) {
    http_request request;
    request.target = "/v1/vms";
    auto response = co_await http_.request(address_, std::move(request), timeout);
    if (!response) {
        co_return response.error();
    }
    if (response.value().status != 200) {
        co_return error{error_kind::unavailable,
                        fmt::format("vm list responded with status {}", response.value().status),
                        retry_after_of(response.value().headers)};
    }
    co_return parse_list(response.value().body);
}

} // namespace dragonflystair::net
