// What a node tells the others again and again, how often that is paid for, and who reports of which ep.
// Which ep a tunnel goes to is not decided here.
#pragma once
#include <algorithm>
#include <cmath>

#include "balance/loads.h"

namespace lemonstair {

constexpr double talk_part = 0.02;
constexpr double usual_change = 0.1;  // of a load, that is told after the usual pause
constexpr int not_reporting = 3;

struct Talk : Loads {
    using Loads::Loads;

    template <class Add>
    void post(std::uint32_t node, Add&& add) {
        if (talks() && node != terms.own_node && node != none) outbox.post(node, add);
    }
    // What is told and probed again and again is paid by the tunnels placed: it is done as often as this part
    // of their credit pays for. The price is that of a round of all nodes, the tunnels those of all nodes.
    Ticks paced(Ticks wanted, double price, int longest) const {
        const double paid = price / (talk_part * std::max(placed_lately / 10 * tunnels_a_sample(), 0.05));
        return std::clamp(static_cast<Ticks>(std::min(paid, 1e6) * second), wanted, longest * wanted);
    }

    // Who has started or fallen silent is told to all where that is paid, if all nodes did so, by the tunnels
    // of the time in which refreshes put the records right by themselves. Guards against a storm when many
    // nodes start or end at once.
    bool news_pays(int times = 1) const {
        return paced(second, hearer_price(1) * nodes() / times, 20) <= refresh_every;
    }
    void reckon_talk() {
        const auto servers = static_cast<double>(eps.size());
        const double reporters = std::min(nodes(), servers / 8 + 1);
        report_pause = paced(report_every, hearer_price(peer::load_total_bytes * servers) * nodes(), 8);
        const double word = hearer_price(peer::load_report_bytes * servers / reporters);
        tell_pause = paced(report_every, word * reporters, 16);
    }
    void tell_sums() {
        const bool all = ++reports % 4 == 0;  // what is lost is told again in the end
        outbox.tell_all_of([&](auto&& put) {
            for (auto& e : eps) {
                const bool good = e.good_at >= last_report;
                if (e.life == EndpointState::removed ||
                    (!all && std::abs(e.mine - e.told) < 0.02 * room(e) && !good))
                    continue;
                e.told = e.mine;
                put([&](peer::Message& m) { return m.load_total(e.id, good, e.mine); });
            }
        });
        last_report = now;
    }
    // Eps of one block have the same reporter, who tells of them in one message; the next two on the ring
    // take its place one after the other where it says nothing. The blocks follow from the list alone: nodes
    // that have the same list agree on them, however they came to it.
    void find_reporters() {
        constexpr std::uint32_t together = 8;
        std::uint32_t listed_now = 0;
        for (const auto& e : eps) listed_now += e.life == EndpointState::removed ? 0 : 1;
        const std::uint32_t blocks = listed_now / together + 1;
        for (auto& e : eps) {
            Ring::Chain nodes{};
            const std::size_t n = ring.chain(
                mix(e.id % blocks), 3, [this](std::uint32_t k) { return lives(k); }, nodes);
            e.reporters = {none, none, none};
            std::copy_n(nodes.begin(), n, e.reporters.begin());
            const auto mine = std::find(e.reporters.begin(), e.reporters.end(), terms.own_node);
            e.rank = static_cast<int>(mine - e.reporters.begin());
        }
        ring_changed = false;
    }
    // The reporter's word to all: at once where an ep fell silent or came back, else as its price allows, and
    // the sooner the more its load has changed.
    bool to_tell(const Endpoint& e) const {
        if (e.life != EndpointState::active || e.rank == not_reporting || e.aside) return false;
        if (e.bad_told) return now - e.aside_at >= e.rank * second;
        if (std::isnan(e.x) || now - last_report < std::max(second, tell_pause / 8)) return false;
        const double change = std::min(std::abs(e.x - e.x_told) / usual_change, 8.0);
        const auto waited = static_cast<double>(now - e.x_told_at) / (1 + 2 * e.rank);
        return waited * (change > 0.5 ? change : 0.25) >= static_cast<double>(tell_pause);
    }
    // That one is dead, once enough nodes found it so; the next in rank says it where those before do not.
    bool to_tell_dead(const Endpoint& e) const {
        if (!e.aside || e.life != EndpointState::active || e.rank == not_reporting) return false;
        if (now - e.aside_at < e.rank * second / (e.silent ? 4 : 1)) return false;
        return now - e.bad_told_at >= failure_detector::renewal_interval &&
               (e.silent ? e.found_dead.is_unresponsive(now) : e.faulty.is_failing(now));
    }
    void tell_dead(Endpoint& e) {
        const failure_detector::ObservationPair by = (e.silent ? e.found_dead : e.faulty).newest();
        e.bad_told = true;
        e.bad_told_at = now;
        outbox.tell_all([&](auto& m) { m.endpoint_failure(e.id, by[1].when, by[0].node, by[1].node); });
    }
    void tell_reports() {
        if (std::none_of(eps.begin(), eps.end(), [this](const Endpoint& e) { return to_tell(e); })) return;
        outbox.tell_all_of([&](auto&& put) {
            for (auto& e : eps) {
                const bool told_with = e.rank != not_reporting && e.life == EndpointState::active &&
                                       !e.aside && std::abs(e.x - e.x_told) > usual_change / 4;
                if (!told_with && !to_tell(e)) continue;
                e.bad_told = false;
                e.x_told = std::isnan(e.x) ? 0 : e.x;
                e.x_told_at = now;
                put([&](peer::Message& m) { return m.load_report(e.id, true, e.x_told); });
            }
        });
        last_report = now;
    }
};

}  // namespace lemonstair
