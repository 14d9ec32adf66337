#include "text_check.h"

#include <boost/locale/utf.hpp>
#include <fmt/format.h>

namespace dragonflystair::config {

std::string line_error(std::string_view line, std::size_t limit_bytes) {
    if (line.size() > limit_bytes) {
        return fmt::format("line of {} bytes is longer than {}", line.size(), limit_bytes);
    }
    using traits = boost::locale::utf::utf_traits<char>;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    for (const char* next = line.begin(); next != line.end();) {
        const auto column = next - line.begin() + 1;
        const auto point = traits::decode(next, line.end());
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete) {
            return fmt::format("broken UTF-8 at byte {}", column);
        }
        if ((point < 0x20 && point != '\t') || point == 0x7F) {
            return fmt::format("control character 0x{:02X} at byte {}", point, column);
        }
    }
    return {};
}

} // namespace dragonflystair::config
