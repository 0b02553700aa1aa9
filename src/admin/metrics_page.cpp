#include "admin/metrics_page.h"

#include <string_view>

#include "json/text.h"

namespace lemonstair::admin {

std::string write_metrics_page(const MetricsSnapshot& snapshot) {
    std::string page = R"({"operations":{)";
    const auto write = [&](std::string_view name, std::uint64_t value, std::string_view separator) {
        page.append("\"").append(name).append("\":").append(std::to_string(value)).append(separator);
    };
    for (std::size_t i = 0; i < snapshot.traffic_class_names.size(); ++i) {
        const auto& counters = snapshot.tunnels.by_traffic_class[i];
        const std::string name = json::quoted(snapshot.traffic_class_names[i]);
        page.append(i > 0 ? "," : "").append(name).append(":{");
        write("fulfilled", counters.opened, ",");
        write("throttled", counters.declined, ",");
        write("faulted", counters.closed_with_error, ",");
        write("relayed", counters.setups_written, "}");
    }
    std::uint64_t setups_written = 0;
    for (const auto& counters : snapshot.tunnels.by_traffic_class) setups_written += counters.setups_written;
    page += "},";
    write("relayed", setups_written, ",");
    write("open_requests", snapshot.open_tunnels, ",");
    write("registry_entries", snapshot.endpoints_listed, ",");
    write("out_of_rotation", snapshot.endpoints_excluded, "}");
    return page;
}

}  // namespace lemonstair::admin
