#pragma once

#include "dragonflystair/cli/command_line.h"

#include "arguments.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::cli {

/// Result of a command line that is wrong in a way that docopt does not see.
command_result usage_fault(std::string_view message);

/// Sets the address of a request from an option. Returns the fault, if any.
std::optional<command_result> set_address(remote_request& request, const arguments& given,
                                          const std::string& option);

/// Adds the operator token from the file or the variable. Returns the fault, if any.
std::optional<command_result> add_token(remote_request& request, const arguments& given,
                                        const environment& outside);

/// Makes a result of an answer with any status.
using answer_reader = std::function<command_result(const remote_answer&)>;

/// Sends the request. Without a whole answer the result is `unreachable`.
command_result call_node(const remote_request& request, const environment& outside,
                         const answer_reader& read_answer);

/// Refusal by the node, with the detail of its problem details (RFC 9457) if it sent them.
command_result refusal(const remote_answer& answer);

/// An answer with status 200 whose body is not what the interface says.
command_result unusable_answer();

} // namespace dragonflystair::cli
