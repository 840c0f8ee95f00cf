// Renders a time line as SVG: one lane for each process, time from left to right.

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "operators/timeline.hpp"

namespace ospreystair::operators
{

namespace
{

// All lengths are in pixels.
constexpr int label_width = 220;
constexpr int plot_width = 1000;
constexpr int margin = 20;
constexpr int header_height = 60;
// Fits the names of `label_rows` events at nearly the same time.
constexpr int lane_height = 70;
constexpr int line_height = 14;
constexpr int label_rows = 4;

std::string escape(const std::string& text)
{
    std::string result;
    for (const char character : text)
    {
        switch (character)
        {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            // XML 1.0 allows no other control characters.
            result += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
        }
    }
    return result;
}

std::string_view colour_of(const std::string& level)
{
    if (level == "error")
        return "#c62828";
    if (level == "warning")
        return "#ef6c00";
    return "#1565c0";
}

std::string describe(const timeline_event& item)
{
    std::string text = fmt::format("{} {}", item.when.to_text(), item.name);
    for (const auto& [name, value] : item.fields)
        text += fmt::format(" {}={}", name, value);
    return text;
}

} // namespace

std::string render_svg(const std::string& title, const std::vector<timeline_event>& events,
                       const std::vector<missing_source>& missing)
{
    std::map<std::string, int> lanes;
    for (const timeline_event& item : events)
        lanes.try_emplace(fmt::format("{} {}", item.vm, item.process), 0);
    int lane_count = 0;
    for (auto& [name, number] : lanes)
        number = lane_count++;

    const auto start = events.empty() ? 0 : events.front().when.physical.count();
    const auto end = events.empty() ? 0 : events.back().when.physical.count();
    const auto span = std::max<std::int64_t>(end - start, 1);
    const int width = label_width + plot_width + 2 * margin + label_width;
    const int height = header_height + lane_count * lane_height +
                       static_cast<int>(missing.size()) * line_height + margin;

    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
                                  "height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
                                  "font-family=\"sans-serif\" font-size=\"11\">\n",
                                  width, height);
    svg += fmt::format("<rect width=\"{}\" height=\"{}\" fill=\"white\"/>\n", width, height);
    svg +=
        fmt::format("<text x=\"{}\" y=\"24\" font-size=\"15\">{}</text>\n", margin, escape(title));
    svg += fmt::format("<text x=\"{}\" y=\"44\">{} ms from the first event to the last</text>\n",
                       margin, end - start);
    for (const auto& [name, number] : lanes)
    {
        const int y = header_height + number * lane_height + lane_height / 4;
        svg += fmt::format("<text x=\"{}\" y=\"{}\">{}</text>\n", margin, y + 4, escape(name));
        svg += fmt::format("<line x1=\"{0}\" y1=\"{1}\" x2=\"{2}\" y2=\"{1}\" stroke=\"#bbb\"/>\n",
                           label_width, y, label_width + plot_width);
    }
    std::map<int, int> events_of_lane;
    for (const timeline_event& item : events)
    {
        const int lane = lanes.at(fmt::format("{} {}", item.vm, item.process));
        const auto offset = (item.when.physical.count() - start) * plot_width / span;
        const auto x = label_width + static_cast<int>(offset);
        const int y = header_height + lane * lane_height + lane_height / 4;
        const int row = events_of_lane[lane]++ % label_rows;
        svg += fmt::format("<g><title>{}</title><circle cx=\"{}\" cy=\"{}\" r=\"4\" fill=\"{}\"/>"
                           "<text x=\"{}\" y=\"{}\">+{} {}</text></g>\n",
                           escape(describe(item)), x, y, colour_of(item.level), x + 4,
                           y + line_height * (row + 1) - 2, item.when.physical.count() - start,
                           escape(item.name));
    }
    int y = header_height + lane_count * lane_height + line_height;
    for (const missing_source& item : missing)
    {
        svg += fmt::format("<text x=\"{}\" y=\"{}\" fill=\"#c62828\">missing: {}: {}</text>\n",
                           margin, y, escape(item.name), escape(item.reason));
        y += line_height;
    }
    return svg + "</svg>\n";
}

} // namespace ospreystair::operators
