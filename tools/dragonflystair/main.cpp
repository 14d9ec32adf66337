#include "dragonflystair/cli/command_line.h"

#include <cstdio>

int main(int argc, char** argv) {
    using namespace dragonflystair::cli;
    const auto result = run({argv + 1, argv + argc}, process_environment());
    std::fputs(result.output.c_str(), stdout);
    std::fputs(result.errors.c_str(), stderr);
    return static_cast<int>(result.code);
}
