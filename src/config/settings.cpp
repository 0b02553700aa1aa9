#include "config/settings.h"

namespace lemonstair::config {

namespace {

TrafficClass parse_traffic_class(const json::Value& f) {
    TrafficClass traffic_class;
    traffic_class.latency_objective = down(f.number("setup_goal"));
    traffic_class.client_timeout = down(f.number("client_timeout"));
    traffic_class.deduplication_window = down(f.number("window", 0));
    traffic_class.priority_weight = f.number("credit", 1);
    traffic_class.stream = f.flag("stream");
    traffic_class.idempotency = pick<Idempotency>(f.text("effect"),
                                                  {{"read_like", Idempotency::idempotent},
                                                   {"idempotency_key", Idempotency::idempotent_with_key},
                                                   {"non_idempotent", Idempotency::non_idempotent}},
                                                  "effect");
    traffic_class.deduplication_scope = pick<DeduplicationScope>(f.text("dedup_scope", "all"),
                                                                 {{"all", DeduplicationScope::all},
                                                                  {"zone", DeduplicationScope::zone},
                                                                  {"cell", DeduplicationScope::cell}},
                                                                 "dedup_scope");
    return traffic_class;
}

}  // namespace

BalancerConfig parse_settings(const json::Value& f, std::uint64_t seed) {
    BalancerConfig config;
    f.each("profiles",
           [&](const json::Value& one) { config.traffic_classes.push_back(parse_traffic_class(one)); });
    const json::Value rules = f.inner("rules"), costs = f.inner("costs"), limits = f.inner("limits"),
                      domain = f.inner("domain");
    std::size_t at = 0;
    domain.each("message_aim", [&](const json::Value& one) {
        if (std::isnan(one.as_number())) domain.fail("message_aim", "holds what is not a number");
        if (at < config.traffic_classes.size())
            config.traffic_classes[at++].message_latency_objective = down(one.as_number());
    });
    config.rules = {.poll_interval = down(rules.number("ask_within", 0)),
                    .drain_grace = down(rules.number("stop_sending_within", 0)),
                    .slow_start_duration = up(rules.number("cold", 0)),
                    .overload_window = up(rules.number("fall", 0)),
                    .slow_start_initial_factor = rules.number("cold_from", 1),
                    .overload_multiple = rules.number("tip_multiple", 1)};
    config.costs = {.cross_zone = costs.number("cross_zone", 0),
                    .health_check = costs.number("probe", 0),
                    .gossip_message = costs.number("peer", 0)};
    config.limits = {
        .max_retry_after = limits.flag("retry_after") ? down(limits.number("max_retry_after", 0)) : 0,
        .max_attempts = static_cast<int>(limits.small("max_setups", 1)),
        .gossip_enabled = limits.flag("peers"),
        .health_checks_enabled = limits.flag("probing")};
    config.clock_resolution = up(f.number("granularity", 0));
    config.own_node = f.small("me", 0);
    config.node_count = f.small("balancers", 1);
    config.zone = f.small("zone", 0);
    config.seed = static_cast<std::uint32_t>(seed ^ (seed >> 32));
    config.must_poll = f.text("membership_mode", "push") == "ask";
    config.groups_enabled = domain.flag("groups");
    config.reports_message_delay = domain.flag("tells_delay");
    config.packet_passthrough = domain.text("mode", "proxy") == "pass";
    config.endpoint_sizes_differ = f.text("weight_kind", "none") != "none";
    return config;
}

}  // namespace lemonstair::config
