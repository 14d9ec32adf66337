#include "dragonflystair/net/http_message.h"

#include "platform/call_headers.h"
#include "platform/decode.h"
#include "platform/names.h"
#include "targets.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

namespace dragonflystair::fuzz {

namespace {

/// Returns the part of `text` before the next line break and removes it with the break.
std::string_view take_line(std::string_view& text) {
    const auto end = text.find('\n');
    const auto line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    return line;
}

/// Returns whether the parser of requests lets a text pass as a part of a head.
bool may_be_in_head(std::string_view text) {
    return std::ranges::none_of(text, [](char symbol) {
        const auto code = static_cast<unsigned char>(symbol);
        return (code < ' ' && symbol != '\t') || code == 0x7f;
    });
}

net::http_request request_of(std::string_view text) {
    net::http_request request;
    request.method = "POST";
    const auto target = take_line(text);
    if (may_be_in_head(target)) {
        request.target = std::string(target);
    }
    while (!text.empty()) {
        const auto line = take_line(text);
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos && may_be_in_head(line)) {
            request.headers[std::string(line.substr(0, colon))] =
                std::string(line.substr(colon + 2));
        }
    }
    return request;
}

} // namespace

void require(bool condition, std::string_view rule) {
    if (!condition) {
        std::fprintf(stderr, "broken rule: %.*s\n", static_cast<int>(rule.size()), rule.data());
        std::abort();
    }
}

void run_call_headers(std::string_view input) {
    const auto request = request_of(input);
    const auto call = platform::decode_call(request);
    const auto prompt = net::header(request.headers, platform::prompt_header);
    require(call.prompt.size() <= prompt.size(), "a part of a prompt takes one byte at least");
    platform::added_call_headers added;
    added.endpoint = "endpoint-1";
    added.remaining = call.caller_timeout;
    added.has_tenants = true;
    added.tenant = "tenant-1";
    added.resume_after = call.last_event_id;
    const auto text = platform::render_call(request, added);
    const std::string line = "\r\n" + std::string(platform::key_header) + ": ";
    const auto same = [](char left, char right) { return (left | 0x20) == (right | 0x20); };
    const auto key = std::ranges::search(text, line, same);
    require(key.empty(), "the key of a call is not forwarded");
    require(text.ends_with("\r\n\r\n"), "a head ends with an empty line");
    require(text.find("\r\n\r\n") == text.size() - 4, "a head has no empty line before its end");
}

} // namespace dragonflystair::fuzz
