#pragma once

#include "dragonflystair/net/http_client.h"

#include "http_connection.h"

#include <boost/beast/http/buffer_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace dragonflystair::net {

/// Body of a response that is read incrementally on a connection of its own.
class http_client_stream : public http_body_stream {
public:
    using body_parser = http::response_parser<http::buffer_body>;

    /// `parser` must have parsed the head.
    http_client_stream(std::shared_ptr<http_connection> connection,
                       std::shared_ptr<body_parser> parser);
    ~http_client_stream() override;
    http_client_stream(const http_client_stream&) = delete;
    http_client_stream& operator=(const http_client_stream&) = delete;

    [[nodiscard]] const http_response& head() const override { return head_; }
    awaitable<async_result<std::optional<std::string>>>
    read(std::chrono::milliseconds timeout) override;
    void close() override;

private:
    std::shared_ptr<http_connection> connection_;
    std::shared_ptr<body_parser> parser_;
    http_response head_;
};

} // namespace dragonflystair::net
