#include "file_text.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>

namespace dragonflystair::cli {
namespace {

struct file_closer {
    void operator()(std::FILE* file) const { std::fclose(file); }
};

} // namespace

std::variant<std::string, read_error> read_file(const std::string& path) {
    const std::unique_ptr<std::FILE, file_closer> file(std::fopen(path.c_str(), "rb"));
    if (!file) {
        return read_error{std::strerror(errno)};
    }
    std::string text;
    char block[4096];
    while (const auto count = std::fread(block, 1, sizeof block, file.get())) {
        text.append(block, count);
    }
    if (std::ferror(file.get()) != 0) {
        return read_error{std::strerror(errno)};
    }
    return text;
}

} // namespace dragonflystair::cli
