#include "soak/fault_plan.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace lemonstair::soak {

namespace {

// Calls visit(name, field) for each field, so that writing and reading share one list.
template <class Plan, class Visit>
void each_field(Plan& plan, Visit&& visit) {
    visit("seed", plan.seed);
    visit("wall_offset_ms", plan.wall_offset_ms);
    visit("wall_step_after_ms", plan.wall_step_after_ms);
    visit("wall_step_ms", plan.wall_step_ms);
    visit("calls_from_ms", plan.calls_from_ms);
    visit("calls_until_ms", plan.calls_until_ms);
    visit("accept", plan.accept);
    visit("socket", plan.socket);
    visit("connect", plan.connect);
    visit("poll", plan.poll);
    visit("send", plan.send);
    visit("recv", plan.recv);
    visit("file", plan.file);
    visit("short_io", plan.short_io);
    visit("hold_every_ms", plan.hold_every_ms);
    visit("hold_ms", plan.hold_ms);
}

}  // namespace

std::string write_plan(const FaultPlan& plan) {
    std::ostringstream out;
    each_field(plan, [&](std::string_view name, const auto& value) {
        if (out.tellp() > 0) out << ',';
        out << name << '=' << value;
    });
    return out.str();
}

FaultPlan read_plan(std::string_view text) {
    FaultPlan plan;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find(','));
        text.remove_prefix(std::min(pair.size() + 1, text.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) continue;
        each_field(plan, [&](std::string_view name, auto& value) {
            if (name == pair.substr(0, equals))
                std::from_chars(pair.data() + equals + 1, pair.data() + pair.size(), value);
        });
    }
    return plan;
}

}  // namespace lemonstair::soak
