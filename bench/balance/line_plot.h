#pragma once

#include <span>
#include <string>
#include <vector>

namespace bench {

struct plot_point {
    double x = 0;
    double y = 0; ///< From 0 to 1.
};

struct plot_line {
    std::string name;
    std::vector<plot_point> points;
};

struct plot_panel {
    std::string title;
    std::vector<plot_line> lines; ///< In the same order in all panels.
};

struct plot_labels {
    std::string x;
    std::string y;
};

/// Returns an SVG image with the panels side by side and one legend below them. The horizontal axes
/// are logarithmic with a mark at each x of the first line.
std::string draw_plot(std::span<const plot_panel> panels, const plot_labels& labels);

} // namespace bench
