#include "config/settings.h"

namespace lemonstair::config {

namespace {

TrafficClass parse_traffic_class(const json::Value& profile) {
    TrafficClass traffic_class;
    traffic_class.latency_objective = round_down_to_ticks(profile.number("setup_goal"));
    traffic_class.client_timeout = round_down_to_ticks(profile.number("client_timeout"));
    traffic_class.deduplication_window = round_down_to_ticks(profile.number("window", 0));
    traffic_class.priority_weight = profile.number("credit", 1);
    traffic_class.stream = profile.flag("stream");
    traffic_class.idempotency =
        decode_word<Idempotency>(profile.text("effect"),
                                 {{"read_like", Idempotency::idempotent},
                                  {"idempotency_key", Idempotency::idempotent_with_key},
                                  {"non_idempotent", Idempotency::non_idempotent}},
                                 "effect");
    traffic_class.deduplication_scope = decode_word<DeduplicationScope>(profile.text("dedup_scope", "all"),
                                                                        {{"all", DeduplicationScope::all},
                                                                         {"zone", DeduplicationScope::zone},
                                                                         {"cell", DeduplicationScope::cell}},
                                                                        "dedup_scope");
    return traffic_class;
}

}  // namespace

BalancerConfig parse_settings(const json::Value& settings, std::uint64_t seed) {
    BalancerConfig config;
    settings.for_each("profiles", [&](const json::Value& entry) {
        config.traffic_classes.push_back(parse_traffic_class(entry));
    });
    const json::Value rules = settings.object("rules"), costs = settings.object("costs"),
                      limits = settings.object("limits"), domain = settings.object("domain");
    std::size_t traffic_class = 0;
    domain.for_each("message_aim", [&](const json::Value& entry) {
        if (std::isnan(entry.as_number())) domain.fail("message_aim", "holds what is not a number");
        if (traffic_class < config.traffic_classes.size())
            config.traffic_classes[traffic_class++].message_latency_objective =
                round_down_to_ticks(entry.as_number());
    });
    config.rules = {.poll_interval = round_down_to_ticks(rules.number("ask_within", 0)),
                    .drain_grace = round_down_to_ticks(rules.number("stop_sending_within", 0)),
                    .slow_start_duration = round_up_to_ticks(rules.number("cold", 0)),
                    .overload_window = round_up_to_ticks(rules.number("fall", 0)),
                    .slow_start_initial_factor = rules.number("cold_from", 1),
                    .overload_multiple = rules.number("tip_multiple", 1)};
    config.costs = {.cross_zone = costs.number("cross_zone", 0),
                    .health_check = costs.number("probe", 0),
                    .gossip_message = costs.number("peer", 0)};
    config.limits = {.max_retry_after = limits.flag("retry_after")
                                            ? round_down_to_ticks(limits.number("max_retry_after", 0))
                                            : 0,
                     .max_attempts = static_cast<int>(limits.uint32("max_setups", 1)),
                     .gossip_enabled = limits.flag("peers"),
                     .health_checks_enabled = limits.flag("probing")};
    config.clock_resolution = round_up_to_ticks(settings.number("granularity", 0));
    config.own_node = settings.uint32("me", 0);
    config.node_count = settings.uint32("balancers", 1);
    config.zone = settings.uint32("zone", 0);
    config.seed = static_cast<std::uint32_t>(seed ^ (seed >> 32));
    config.must_poll = settings.text("membership_mode", "push") == "ask";
    config.groups_enabled = domain.flag("groups");
    config.reports_message_delay = domain.flag("tells_delay");
    config.packet_passthrough = domain.text("mode", "proxy") == "pass";
    config.endpoint_sizes_differ = settings.text("weight_kind", "none") != "none";
    return config;
}

}  // namespace lemonstair::config
