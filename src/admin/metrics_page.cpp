#include "admin/metrics_page.h"

#include <string_view>

#include "json/text.h"

namespace lemonstair::admin {

std::string write_figures(const MetricsSnapshot& f) {
    std::string out = R"({"operations":{)";
    const auto figure = [&](std::string_view name, std::uint64_t n, std::string_view behind) {
        out.append("\"").append(name).append("\":").append(std::to_string(n)).append(behind);
    };
    for (std::size_t i = 0; i < f.profiles.size(); ++i) {
        const auto& row = f.outcomes.of[i];
        out.append(i > 0 ? "," : "").append(json::quoted(f.profiles[i])).append(":{");
        figure("fulfilled", row.opened, ",");
        figure("throttled", row.declined, ",");
        figure("faulted", row.closed_with_error, ",");
        figure("relayed", row.setups_written, "}");
    }
    std::uint64_t written = 0;
    for (const auto& row : f.outcomes.of) written += row.setups_written;
    out += "},";
    figure("relayed", written, ",");
    figure("open_requests", f.open, ",");
    figure("registry_entries", f.listed, ",");
    figure("out_of_rotation", f.excluded, "}");
    return out;
}

}  // namespace lemonstair::admin
