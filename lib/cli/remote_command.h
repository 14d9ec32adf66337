#pragma once

#include "dragonflystair/cli/command_line.h"

#include "arguments.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::cli {

/// Returns the result for a command line that docopt accepts but whose values are invalid.
command_result usage_error(std::string_view message);

/// Sets the address of `request` from `option`. Returns an error result if it is not `IP:PORT`.
std::optional<command_result> set_address(remote_request& request, const arguments& args,
                                          const std::string& option);

/// Adds the operator token, read from `--token-file` or the environment variable, as a bearer
/// token. Returns an error result if there is no valid token.
std::optional<command_result> add_token(remote_request& request, const arguments& args,
                                        const environment& env);

/// Converts a response with any status to a command result.
using response_handler = std::function<command_result(const remote_response&)>;

/// Sends the request and passes the response to `handle_response`. Returns exit code `unreachable`
/// if no complete response arrives.
command_result call_node(const remote_request& request, const environment& env,
                         const response_handler& handle_response);

/// Returns the result for a request that the node refused, with the `detail` member of the problem
/// details (RFC 9457) if the node sent them.
command_result refused_result(const remote_response& response);

/// Returns the result for a response with status 200 whose body does not match the interface.
command_result malformed_response();

} // namespace dragonflystair::cli
