#include "config/settings.h"

namespace lemonstair::config {

namespace {

Profile read_profile(const json::Value& f) {
    Profile p;
    p.setup_goal = down(f.number("setup_goal"));
    p.client_timeout = down(f.number("client_timeout"));
    p.window = down(f.number("window", 0));
    p.credit = f.number("credit", 1);
    p.stream = f.flag("stream");
    p.effect = pick<Effect>(f.text("effect"),
                            {{"read_like", Effect::repeatable},
                             {"idempotency_key", Effect::referenced},
                             {"non_idempotent", Effect::once_only}},
                            "effect");
    p.scope = pick<Scope>(f.text("dedup_scope", "all"),
                          {{"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::cell}}, "dedup_scope");
    return p;
}

}  // namespace

Terms read_terms(const json::Value& f, std::uint64_t seed) {
    Terms t;
    f.each("profiles", [&](const json::Value& one) { t.profiles.push_back(read_profile(one)); });
    const json::Value rules = f.inner("rules"), costs = f.inner("costs"), limits = f.inner("limits"),
                      domain = f.inner("domain");
    std::size_t at = 0;
    domain.each("message_aim", [&](const json::Value& one) {
        if (std::isnan(one.as_number())) domain.fail("message_aim", "holds what is not a number");
        if (at < t.profiles.size()) t.profiles[at++].message_goal = down(one.as_number());
    });
    t.rules = {.ask_within = down(rules.number("ask_within", 0)),
               .drain_grace = down(rules.number("stop_sending_within", 0)),
               .cold = up(rules.number("cold", 0)),
               .fall = up(rules.number("fall", 0)),
               .cold_from = rules.number("cold_from", 1),
               .tip_multiple = rules.number("tip_multiple", 1)};
    t.prices = {.cross_zone = costs.number("cross_zone", 0),
                .probe = costs.number("probe", 0),
                .peer = costs.number("peer", 0)};
    t.limits = {.max_come_back = limits.flag("retry_after") ? down(limits.number("max_retry_after", 0)) : 0,
                .max_setups = static_cast<int>(limits.small("max_setups", 1)),
                .peers = limits.flag("peers"),
                .probing = limits.flag("probing")};
    t.tick = up(f.number("granularity", 0));
    t.me = f.small("me", 0);
    t.nodes = f.small("balancers", 1);
    t.zone = f.small("zone", 0);
    t.seed = static_cast<std::uint32_t>(seed ^ (seed >> 32));
    t.must_ask = f.text("membership_mode", "push") == "ask";
    t.groups = domain.flag("groups");
    t.hears_delay = domain.flag("tells_delay");
    t.packets_pass = domain.text("mode", "proxy") == "pass";
    t.sized = f.text("weight_kind", "none") != "none";
    return t;
}

}  // namespace lemonstair::config
