#include "targets.h"

#include <cstddef>
#include <cstdint>

// Called by libFuzzer. `DRAGONFLYSTAIR_FUZZ_TARGET` is the function of the target.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer specifies the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    dragonflystair::fuzz::DRAGONFLYSTAIR_FUZZ_TARGET({reinterpret_cast<const char*>(data), size});
    return 0;
}
