#pragma once

#include "dragonflystair/net/http_server.h"

#include <functional>
#include <string_view>
#include <utility>

namespace dragonflystair::net {

/// Exchange that keeps the response, and whose caller stays until the test disconnects it.
class exchange_stand_in : public http_exchange {
public:
    explicit exchange_stand_in(http_request request) : request_(std::move(request)) {}

    [[nodiscard]] const http_request& request() const override { return request_; }
    awaitable<void> respond(http_response given) override {
        response = std::move(given);
        co_return;
    }
    awaitable<void> begin_stream(http_response /*head*/) override { co_return; }
    awaitable<bool> write(std::string_view /*bytes*/) override { co_return true; }
    awaitable<void> end_stream() override { co_return; }
    [[nodiscard]] bool disconnected() const override { return false; }
    void on_disconnect(std::function<void()> hook) override { hook_ = std::move(hook); }

    void disconnect() const { hook_(); }

    http_response response;

private:
    http_request request_;
    std::function<void()> hook_;
};

} // namespace dragonflystair::net
