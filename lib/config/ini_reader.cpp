#include "ini_reader.h"

#include "text_check.h"

#include <boost/algorithm/string/trim_all.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <ini.h>
#include <mutex>
#include <utility>

namespace dragonflystair::config {
namespace {

constexpr std::string_view blanks = " \t\r";

/// Sets inih's options, which are global variables.
void set_inih_options() {
    static std::once_flag once;
    std::call_once(once, [] {
        ini_use_stack = false;
        ini_max_line = static_cast<int>(max_line_bytes) + 4;
        ini_initial_alloc = ini_max_line;
        // A continuation line would be passed to the handler as the same key again, where it cannot
        // be distinguished from a duplicate key. Without the option it is reported as not INI.
        ini_allow_multiline = false;
    });
}

/// Passes lines to inih and collects the entries that it parses. inih truncates section names after
/// 49 bytes, ignores text after the bracket and does not report empty sections, so this class
/// parses headings itself.
class line_feeder {
public:
    line_feeder(std::string_view text, std::string_view file, support::findings& findings)
        : rest_(text), findings_(findings) {
        document_.file = file;
    }

    char* next(char* buffer, int size) {
        finish_line();
        if (rest_.empty()) {
            return nullptr;
        }
        const std::string_view line = take_line();
        const std::string_view passed_line = process_line(line) ? line : std::string_view{};
        const auto count = std::min(passed_line.size(), static_cast<std::size_t>(size) - 2);
        char* end = std::copy_n(passed_line.data(), count, buffer);
        *end++ = '\n';
        *end = '\0';
        return buffer;
    }

    void on_entry(std::string_view key, std::string_view value) {
        expects_entry_ = false;
        if (document_.sections.empty()) {
            report("key '{}' is outside a section", key);
            return;
        }
        if (key.empty()) {
            report("not an INI line: the key is empty");
            return;
        }
        document_.sections.back().entries.push_back({std::string(key), std::string(value), line_});
    }

    /// Returns the document without the sections whose heading could not be parsed.
    ini_document take_document() {
        document_.has_unreadable_heading =
            std::erase_if(document_.sections,
                          [](const auto& section) { return section.name.empty(); }) > 0;
        return std::move(document_);
    }

private:
    std::string_view take_line() {
        const auto end = rest_.find('\n');
        const auto line = rest_.substr(0, end);
        rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
        ++line_;
        return line;
    }

    /// Returns whether the line is to be passed to inih. Parses headings, and sets whether inih
    /// must report an entry for the line.
    bool process_line(std::string_view line) {
        if (line_ == 1 && line.starts_with("\xEF\xBB\xBF")) {
            line.remove_prefix(3);
        }
        const auto start = line.find_first_not_of(blanks);
        const std::string_view content =
            start == std::string_view::npos ? std::string_view{} : line.substr(start);
        const bool heading = content.starts_with('[');
        if (const auto error = line_error(line, max_line_bytes); !error.empty()) {
            if (heading) {
                document_.sections.push_back({"", line_, {}, true});
            }
            reject(error);
            return false;
        }
        if (heading) {
            open_section(content);
            return false;
        }
        expects_entry_ = !content.empty() && content.front() != ';' && content.front() != '#';
        return true;
    }

    void open_section(std::string_view content) {
        document_.sections.push_back({"", line_, {}, false});
        const auto end = content.find(']');
        if (end == std::string_view::npos) {
            reject("section heading without ']'");
            return;
        }
        const auto after = content.find_first_not_of(blanks, end + 1);
        if (after != std::string_view::npos && content[after] != ';' && content[after] != '#') {
            reject("text after the section heading");
            return;
        }
        std::string name(content.substr(1, end - 1));
        boost::algorithm::trim_all(name);
        if (name.empty()) {
            reject("section heading without a name");
        }
        document_.sections.back().name = std::move(name);
    }

    /// Reports the previous line as not INI if inih reported no entry for it. inih itself reports
    /// only the first such line.
    void finish_line() {
        if (std::exchange(expects_entry_, false)) {
            reject("not an INI line: expected '[section]' or 'key = value'");
        }
    }

    void reject(std::string_view message) {
        report("{}", message);
        if (!document_.sections.empty()) {
            document_.sections.back().has_unreadable_line = true;
        }
    }

    template <class... Args> void report(fmt::format_string<Args...> format, Args&&... args) {
        findings_.push_back(
            {document_.file, line_, fmt::format(format, std::forward<Args>(args)...)});
    }

    std::string_view rest_;
    support::findings& findings_;
    ini_document document_;
    int line_ = 0;
    bool expects_entry_ = false;
};

} // namespace

ini_document read_ini(std::string_view text, std::string_view file, support::findings& findings) {
    set_inih_options();
    line_feeder feeder(text, file, findings);
    const int code = ini_parse_stream(
        [](char* buffer, int size, void* stream) {
            return static_cast<line_feeder*>(stream)->next(buffer, size);
        },
        &feeder,
        [](void* user, const char*, const char* key, const char* value) {
            static_cast<line_feeder*>(user)->on_entry(key, value);
            return 1;
        },
        &feeder);
    if (code < 0) {
        findings.push_back({std::string(file), 0, "out of memory while parsing"});
    }
    return feeder.take_document();
}

} // namespace dragonflystair::config
