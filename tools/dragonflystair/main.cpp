#include "dragonflystair/cli/command_line.h"

#include <cstdio>

int main(int count, char** words) {
    using namespace dragonflystair::cli;
    const auto result = run({words + 1, words + count}, process_environment());
    std::fputs(result.output.c_str(), stdout);
    std::fputs(result.errors.c_str(), stderr);
    return static_cast<int>(result.code);
}
