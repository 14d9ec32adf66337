#include "usage.h"

namespace dragonflystair::cli {

const std::string& help_text() {
    static const std::string text =
        R"(Serves a base model with many LoRA adapters and moves it between data centres.

Usage:
  dragonflystair node --settings FILE
  dragonflystair gateway --settings FILE
  dragonflystair check FILE [--against SOURCE] [--token-file FILE]
  dragonflystair publish FILE --base REV --operator ADDRESS [--token-file FILE] [--author NAME]
  dragonflystair status --operator ADDRESS [--token-file FILE]
  dragonflystair history --operator ADDRESS [--token-file FILE]
  dragonflystair resolve SERVICE [ADAPTER] --node ADDRESS
  dragonflystair --version
  dragonflystair --help

Options:
  --settings FILE     Settings of the node or gateway.
  --against SOURCE    Version in force to compare with: a file, or the operator address of any
                      node, IP:PORT, for an operators' text.
  --base REV          Revision that the text was edited from; 0 for the first text.
  --operator ADDRESS  Operator address of any node, IP:PORT.
  --token-file FILE   File with the operator token; without it the environment variable
                      DRAGONFLYSTAIR_TOKEN is used.
  --author NAME       Name in the history; the environment variable USER by default.
  --node ADDRESS      Caller address of any node, IP:PORT.
  --version           Print the version.
  --help              Print this help.

Commands:
  node     Run a node until SIGTERM or SIGINT, then stop it gracefully.
  gateway  Run a node on the platform of docs/platform.md until SIGTERM or SIGINT.
  check    Report everything that is wrong with an operators' text, a JSON configuration or
           settings, and how a configuration differs from the version in force.
  publish  Put a text in force and name the data centres where it is.
  status   Show the revision, the peers and the endpoints as a node sees them.
  history  Show the last published changes and their conflicts.
  resolve  Show the addresses that a caller of a service or adapter should use.

Exit codes:
  0  success
  1  findings that are errors, or refused
  2  wrong command line
  3  the node cannot be reached or gave no usable answer
  4  check found nothing, but there are differences
  5  check found only warnings

Examples:
  dragonflystair check authority.ini
  dragonflystair check new.json --against old.json
  dragonflystair publish authority.ini --base 40960 --operator 10.0.1.1:7002 --token-file token
  DRAGONFLYSTAIR_TOKEN=$(cat token) dragonflystair status --operator 10.0.1.1:7002
  dragonflystair resolve assistant pleats@4 --node 10.0.1.1:7000
)";
    return text;
}

std::string usage_patterns() {
    const auto& text = help_text();
    const auto from = text.find("Usage:");
    return text.substr(from, text.find("\n\n", from) + 1 - from);
}

} // namespace dragonflystair::cli
