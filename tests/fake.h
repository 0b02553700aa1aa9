// The one fake host of the stories: it writes down what the Balancer asks for and lets a story play the rest.
#pragma once
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "balance/balance.h"

namespace fake {

using namespace lemonstair;
constexpr Tenths ms = 10, s = 10000;

struct Sent {
    std::uint64_t tun;
    std::uint32_t ep;
    Tenths wait, at;
};

struct Node final : Host {
    std::vector<Sent> sent;
    std::vector<std::uint64_t> declined, errors, moved, probes;
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> post;  // 99: to all
    std::vector<std::pair<Tenths, std::uint64_t>> timers;
    std::vector<std::string> lines;
    int watches = 0;
    Tenths now = 100 * s;
    std::unique_ptr<Balancer> b;

    explicit Node(Terms terms) { b = Balancer::start(std::move(terms), *this, now); }
    Node() : Node(usual(0, 1)) {}

    static Profile profile(Effect effect = Effect::repeatable, Scope scope = Scope::all) {
        return {.setup_goal = 500 * ms,
                .client_timeout = 3 * s,
                .window = 5 * s,
                .message_goal = 100 * ms,
                .credit = 1,
                .effect = effect,
                .scope = scope,
                .stream = true};
    }
    static Terms usual() { return usual(0, 1); }
    static Terms usual(std::uint32_t me, std::uint32_t nodes) {
        Terms t;
        t.profiles = {profile()};
        t.rules = {.ask_within = 10 * s,
                   .drain_grace = 3 * s,
                   .cold = 8 * s,
                   .fall = 15 * s / 10,
                   .cold_from = 0.33,
                   .tip_multiple = 2.5};
        t.limits = {.max_come_back = 0, .max_setups = 3, .peers = nodes > 1, .probing = true};
        t.tick = 5 * ms;
        t.me = me;
        t.nodes = nodes;
        return t;
    }
    void set_up(std::uint64_t t, std::uint32_t ep, Tenths wait) override {
        sent.push_back({t, ep, wait, now});
    }
    void decline(std::uint64_t t, Tenths) override { declined.push_back(t); }
    void close_with_error(std::uint64_t t) override { errors.push_back(t); }
    void move(std::uint64_t t) override { moved.push_back(t); }
    void probe(std::uint32_t ep) override { probes.push_back(ep); }
    void watch_list() override { ++watches; }
    void wake(Tenths at, std::uint64_t label) override { timers.emplace_back(at, label); }
    void tell(std::uint32_t n, std::span<const std::uint8_t> m) override {
        post.emplace_back(n, std::vector(m.begin(), m.end()));
    }
    void tell_all(std::span<const std::uint8_t> m) override { tell(99, m); }
    void log(std::string_view l) override { lines.emplace_back(l); }

    // Lets time pass; timers fire on the way, earliest first.
    void pass(Tenths span) {
        const Tenths until = now + span;
        for (;;) {
            const auto next = std::min_element(timers.begin(), timers.end());
            if (next == timers.end() || next->first > until) break;
            const auto [at, label] = *next;
            timers.erase(next);
            now = std::max(now, at);
            b->at(now);
            b->woken(label);
        }
        now = until;
        b->at(now);
    }
    void list(std::vector<std::uint32_t> eps, ListKind kind = ListKind::whole, Life life = Life::in_service,
              Tenths started = 0) {
        b->list_begin(kind);
        for (const auto e : eps) b->listed(e, 0, 0, life, 1, started);
        b->list_end();
    }
    void arrive(std::uint64_t t, std::string_view key = "", bool mid_flow = false, Tenths timeout = 3 * s) {
        b->arrive(t, {.key = key, .group = {}, .give_up_at = now + timeout, .mid_flow = mid_flow});
    }
    const Sent& last() const { return sent.back(); }
    int setups_of(std::uint64_t t) const {
        return static_cast<int>(
            std::count_if(sent.begin(), sent.end(), [&](const Sent& x) { return x.tun == t; }));
    }
    void open(std::uint64_t t) { b->begun(t, setups_of(t) - 1, last().ep, 10 * ms); }
    void end(std::uint64_t t, Ending e, bool settled = false) {
        b->ended(t, setups_of(t) - 1, last().ep, e, 10 * ms, settled);
    }
    void answer_probes(double load) {
        for (const auto p : std::exchange(probes, {})) {
            Report r;
            r.load = load;
            b->probed(static_cast<std::uint32_t>(p), Ending::ok, ms, r);
        }
    }
};

inline std::string key_of(std::uint64_t n) { return std::string("k").append(std::to_string(n)); }

// Carries all waiting messages between nodes.
inline void deliver(std::vector<Node*> nodes) {
    for (bool any = true; any;) {
        any = false;
        for (std::uint32_t from = 0; from < nodes.size(); ++from) {
            for (const auto& [to, bytes] : std::exchange(nodes[from]->post, {}))
                for (std::uint32_t n = 0; n < nodes.size(); ++n)
                    if (n != from && nodes[n] != nullptr && (to == 99 || to == n)) {
                        nodes[n]->b->told(from, bytes);
                        any = true;
                    }
        }
    }
}

}  // namespace fake
