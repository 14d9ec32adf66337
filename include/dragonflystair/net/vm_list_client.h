#pragma once

#include "dragonflystair/net/http_client.h"

#include <string>
#include <vector>

namespace dragonflystair::net {

/// Entry of the platform's VM list.
struct vm_entry {
    std::string id;
    std::string address;
    std::string data_centre;
    std::string service;
    bool leaving = false; ///< Listed with the state `leaving`.
};

/// Client of the platform's VM list, which lags behind the actual state.
class vm_list_client {
public:
    vm_list_client(http_client& http, std::string address);
    awaitable<async_result<std::vector<vm_entry>>> list(std::chrono::milliseconds timeout);

private:
    http_client& http_;
    std::string address_;
};

} // namespace dragonflystair::net
