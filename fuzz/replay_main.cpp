// Feeds each file of a corpus, and mutations of it that a fixed seed determines, to a target.
// Without a count of mutations it feeds the files only, such as a finding of libFuzzer.

#include "targets.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace dragonflystair;

std::string content_of(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Changes some bytes of a text: replaces, removes, repeats or inserts, or copies a part of
/// another.
class mutator {
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    std::string mutate(std::string text, std::string_view other) {
        constexpr std::size_t max_changes = 4;
        for (auto left = 1 + below(max_changes); left > 0; --left) {
            change(text, other);
        }
        return text;
    }

private:
    /// The same on every platform, unlike the distributions of the standard library.
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

    void change(std::string& text, std::string_view other) {
        constexpr std::size_t kinds = 6;
        constexpr std::size_t max_length = 64;
        constexpr std::size_t byte_values = 256;
        const auto at = below(text.size() + 1);
        const auto length = std::min(below(max_length), text.size() - at);
        const auto byte = static_cast<char>(below(byte_values));
        switch (below(kinds)) {
        case 0:
            text.replace(at, std::min<std::size_t>(length, 1), 1, byte);
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.insert(at, below(max_length), byte);
            break;
        case 4:
            text.replace(at, length, other.substr(below(other.size()), max_length));
            break;
        default:
            text.resize(at);
        }
    }

    std::mt19937_64 random_;
};

/// Runs a target on each file and its mutations. Returns the number of inputs.
std::size_t replay(const fuzz::target& target, const std::vector<std::filesystem::path>& files,
                   std::size_t mutations) {
    std::vector<std::string> texts;
    std::ranges::transform(files, std::back_inserter(texts), content_of);
    std::size_t inputs = 0;
    for (std::size_t index = 0; index < texts.size(); ++index) {
        target.run(texts[index]);
        mutator changes(index + 1);
        const auto& other = texts[(index + 1) % texts.size()];
        for (std::size_t count = 0; count < mutations; ++count) {
            target.run(changes.mutate(texts[index], other));
        }
        inputs += 1 + mutations;
    }
    return inputs;
}

} // namespace

int main(int argument_count, char** arguments) {
    const std::vector<std::string> words(arguments, arguments + argument_count);
    if (words.size() < 3) {
        std::puts("usage: dragonflystair-replay TARGET FOLDER_OR_FILE [MUTATIONS]");
        return EXIT_FAILURE;
    }
    const auto* const target = std::ranges::find(fuzz::targets, words[1], &fuzz::target::name);
    std::vector<std::filesystem::path> files;
    if (std::filesystem::is_directory(words[2])) {
        for (const auto& entry : std::filesystem::directory_iterator(words[2])) {
            files.push_back(entry.path());
        }
        std::ranges::sort(files);
    } else {
        files.emplace_back(words[2]);
    }
    if (target == std::end(fuzz::targets) || files.empty()) {
        std::puts("no such target or no files");
        return EXIT_FAILURE;
    }
    const std::size_t mutations = words.size() > 3 ? std::stoul(words[3]) : 0;
    const auto inputs = replay(*target, files, mutations);
    std::printf("%s: %zu inputs\n", words[1].c_str(), inputs);
    return EXIT_SUCCESS;
}
