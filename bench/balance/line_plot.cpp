#include "balance/line_plot.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <utility>

namespace bench {

namespace {

constexpr double panel_width = 300;
constexpr double panel_height = 240;
constexpr double left = 60;
constexpr double top = 40;
constexpr double gap = 50;
constexpr double legend_top = top + panel_height + 60;
constexpr double legend_step = 20;
/// Space between the outermost x and the frame of a panel.
constexpr double inset = 20;

struct style {
    const char* colour;
    const char* dashes;
};
/// Colours that remain distinct with colour blindness.
constexpr std::array<style, 5> styles{{{"#d55e00", "none"},
                                       {"#e69f00", "6 3"},
                                       {"#0072b2", "none"},
                                       {"#56b4e9", "6 3"},
                                       {"#000000", "2 3"}}};

double vertical(double y) {
    return top + panel_height * (1 - y);
}

/// Draws one panel whose frame begins at `origin`.
class panel_writer {
public:
    panel_writer(std::string& out, const plot_panel& panel, double origin)
        : out_(out), panel_(panel), origin_(origin),
          first_(std::log(panel.lines.front().points.front().x)),
          span_(std::log(panel.lines.front().points.back().x) - first_) {}

    void write(const plot_labels& labels) {
        text(origin_ + panel_width / 2, top - 15, panel_.title);
        for (int tenths = 0; tenths <= 10; tenths += 2) {
            const double y = vertical(tenths / 10.0);
            add(R"(<path d="M{:.1f} {:.1f}h{}" stroke="#ddd"/>)", origin_, y, panel_width);
            text(origin_ - 16, y + 4, fmt::format("{:.1f}", tenths / 10.0));
        }
        for (const auto& point : panel_.lines.front().points) {
            text(horizontal(point.x), vertical(0) + 18, fmt::format("{}", point.x));
        }
        text(origin_ + panel_width / 2, vertical(0) + 38, labels.x);
        add(R"(<rect x="{}" y="{}" width="{}" height="{}" fill="none" stroke="#888"/>)", origin_,
            top, panel_width, panel_height);
        for (std::size_t i = 0; i < panel_.lines.size(); ++i) {
            write_line(panel_.lines[i], styles.at(i));
        }
    }

private:
    template <typename... Values>
    void add(fmt::format_string<Values...> format, Values&&... values) {
        fmt::format_to(std::back_inserter(out_), format, std::forward<Values>(values)...);
        out_ += '\n';
    }

    void text(double x, double y, const std::string& content) {
        add(R"(<text x="{:.1f}" y="{:.1f}" text-anchor="middle">{}</text>)", x, y, content);
    }

    [[nodiscard]] double horizontal(double x) const {
        return origin_ + inset + (std::log(x) - first_) / span_ * (panel_width - 2 * inset);
    }

    void write_line(const plot_line& line, const style& look) {
        std::string points;
        for (const auto& point : line.points) {
            fmt::format_to(std::back_inserter(points), "{:.1f},{:.1f} ", horizontal(point.x),
                           vertical(point.y));
        }
        add(R"(<polyline points="{}" fill="none" stroke="{}" stroke-width="2" )"
            R"(stroke-dasharray="{}"/>)",
            points, look.colour, look.dashes);
    }

    std::string& out_;
    const plot_panel& panel_;
    double origin_;
    double first_;
    double span_;
};

} // namespace

std::string draw_plot(std::span<const plot_panel> panels, const plot_labels& labels) {
    const auto count = static_cast<double>(panels.size());
    const auto lines = static_cast<double>(panels.front().lines.size());
    const double width = left + count * (panel_width + gap);
    const double height = legend_top + lines * legend_step;
    std::string out = fmt::format(
        R"(<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {0} {1}" width="{0}" height="{1}" )"
        R"(font-family="sans-serif" font-size="12">)"
        "\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
        width, height);
    double origin = left;
    for (const auto& panel : panels) {
        panel_writer(out, panel, origin).write(labels);
        origin += panel_width + gap;
    }
    fmt::format_to(std::back_inserter(out),
                   "<text transform=\"translate(16 {:.1f}) rotate(-90)\" "
                   "text-anchor=\"middle\">{}</text>\n",
                   vertical(0.5), labels.y);
    double y = legend_top;
    for (std::size_t i = 0; i < panels.front().lines.size(); ++i) {
        fmt::format_to(std::back_inserter(out),
                       "<path d=\"M{0} {1}h30\" stroke=\"{2}\" stroke-width=\"2\" "
                       "stroke-dasharray=\"{3}\"/>\n<text x=\"{4}\" y=\"{5}\">{6}</text>\n",
                       left, y, styles.at(i).colour, styles.at(i).dashes, left + 40, y + 4,
                       panels.front().lines[i].name);
        y += legend_step;
    }
    out += "</svg>\n";
    return out;
}

} // namespace bench
