#pragma once

#include "dragonflystair/net/http_message.h"

#include "response_status.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <string>

namespace dragonflystair::net {

/// Parses a response incrementally and collects its head and the body bytes received so far.
class response_parser : public boost::beast::http::basic_parser<false> {
public:
    response_parser() {
        eager(true);
        body_limit(boost::none);
        header_limit(max_header_bytes);
    }

    [[nodiscard]] http_response& head() { return head_; }
    [[nodiscard]] std::string& body() { return body_; }

private:
    static constexpr std::uint32_t max_header_bytes = 64U * 1024;

    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb /*method*/, string_view /*name*/,
                         string_view /*target*/, int /*version*/, error_code& code) override {
        code = {};
    }
    void on_response_impl(int status, string_view /*reason*/, int /*version*/,
                          error_code& code) override {
        code = is_response_status(status) ? error_code{}
                                          : make_error_code(boost::beast::http::error::bad_status);
        head_.status = status;
    }
    void on_field_impl(boost::beast::http::field /*field*/, string_view name, string_view value,
                       error_code& code) override {
        code = {};
        const auto added =
            head_.headers.insert_or_assign(std::string(name), std::string(value)).second;
        if (!added) {
            head_.repeated_headers.emplace_back(name);
        }
    }
    void on_header_impl(error_code& code) override { code = {}; }
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& code) override {
        code = {};
    }
    std::size_t on_body_impl(string_view bytes, error_code& code) override {
        code = {};
        body_.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                              error_code& code) override {
        code = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes,
                                   error_code& code) override {
        code = {};
        body_.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(error_code& code) override { code = {}; }

    http_response head_;
    std::string body_;
};

} // namespace dragonflystair::net
