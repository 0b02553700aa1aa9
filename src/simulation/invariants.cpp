#include "simulation/invariants.h"

#include <algorithm>
#include <charconv>

namespace lemonstair::simulation {

namespace {

using fakes::Answer;

constexpr Ticks second = 10000;
constexpr Ticks margin = 500;  // each time limit is 50 ms longer on sockets
constexpr Ticks drain_grace = 30000;
constexpr Ticks end_passed_in = 10000;
constexpr Ticks leaving_takes = 37000;
constexpr std::size_t most_broken = 200;

bool may_have_run(Answer a) { return a != Answer::busy; }

}  // namespace

const std::vector<RuleRow>& rule_rows() {
    static const std::vector<RuleRow> rows{
        {"answer", "each tunnel taken gets one final answer, within the wait that it told and 50 ms"},
        {"twice", "nothing follows a decline, an error or a MOVE; nothing is served that no host gave"},
        {"effect",
         "a once-only tunnel that may have run is neither repeated nor declined; a referenced one only "
         "where and while its mark is known"},
        {"at_once", "no two setups of one tunnel are out together"},
        {"drain", "nothing new goes to a host later than 3 s and 50 ms after the node was told"},
        {"astray",
         "a mid-flow tunnel goes to the host that holds it, where one node has ended, all datagrams came "
         "and the host is sound"},
        {"cold", "no host that has just started is pushed over"},
        {"line", "lines pass unchanged, whole and in order"},
        {"cut_off", "no connection is cut off without MOVE while its host keeps it and its node runs"},
        {"leave", "a node told to leave moves all it carries before it goes, where connections end at it"},
        {"silent", "a connection that brings no line back for 7 s is moved or ended"},
        {"end_late", "what its host has ended is ended within a second"},
        {"bad_client", "a client that no node need serve has an error or an end within 3 s"},
        {"call", "operators have their answer within a second"},
        {"figures", "a node's figures are what clients and hosts saw, to 1% or 3 (open ones to 10%)"},
        {"drained", "4 s after the call a drained node says no and holds nobody, but where packets pass"},
        {"upgrade", "a new process says yes within 6 s"},
        {"descriptors", "a node holds no more descriptors than it was granted"},
        {"left_over", "a node that carries nothing holds no tunnel, buffer, connection or heap of timers"},
        {"spin", "no pass of the loop is called again and again for something that it does nothing about"},
        {"crash", "no node ends unasked"},
        {"self_check", "no node finds at run time that it did what its own policy forbids"},
        {"late_attempt", "no attempt begins later than 0.1 s after its client has left"},
        {"slow_start",
         "a cold host is sent no more than N and 2 root of N + 2 (N under 30: N + 3 root of N + 3)"},
        {"budget", "all nodes together send a cold host no more of its budget than the day's bound"},
    };
    return rows;
}

Invariants::Invariants(const Scenario& day, simnet::EventQueue& events, simnet::Streams& network)
    : day_(day),
      events_(events),
      network_(network),
      nodes_(day.nodes),
      hosts_(day.hosts),
      cuts_(day.nodes + day.hosts),
      ledger_(day.hosts) {
    for (Node& n : nodes_) {
        n.not_in_service.assign(day.hosts, 0);
        n.told_at.assign(day.hosts, 0);
    }
}

void Invariants::broke(std::string rule, std::string what) {
    if (broken_.size() < most_broken)
        broken_.push_back({events_.now() - events_.start_time(), std::move(rule), std::move(what)});
}

void Invariants::judge_bounds() {
    for (std::uint32_t h = 0; h < day_.hosts; ++h) {
        std::string who = "host h";
        who += std::to_string(h);
        const double spent = ledger_.most_of_budget(h, day_.host.fall);
        if (day_.most_of_budget > 0 && spent > day_.most_of_budget)
            broke("budget", who + " was sent " + std::to_string(spent) + " of its budget");
        const double over = ledger_.most_over_allowance(h, day_.host.fall);
        if (day_.slow_start_judged && over > 0)
            broke("slow_start",
                  who + " was sent " + std::to_string(over) + " over what a cold host is allowed");
    }
}

std::string Invariants::named(fakes::TunnelNo tunnel) const {
    char text[32];
    std::snprintf(text, sizeof text, "tunnel t%x", tunnel);
    std::string out = text;
    if (tunnel < books_.size()) out += " at node " + std::to_string(books_[tunnel].asked.node);
    return out;
}

Invariants::Book& Invariants::book(fakes::TunnelNo tunnel) {
    while (books_.size() <= tunnel) books_.emplace_back();
    return books_[tunnel];
}

// ---- disturbances

void Invariants::node_started(std::uint32_t node) {
    nodes_[node].lives.push_back({events_.now(), 0, NodeEnd::killed, 0});
    nodes_[node].not_in_service.assign(day_.hosts, 0);
    nodes_[node].told_at.assign(day_.hosts, 0);
}

void Invariants::node_told_to_leave(std::uint32_t node) {
    if (!nodes_[node].lives.empty()) nodes_[node].lives.back().leaving_since = events_.now();
}

void Invariants::node_ended(std::uint32_t node, NodeEnd how) {
    Life& life = nodes_[node].lives.back();
    life.until = events_.now();
    life.how = how;
    for (const Book& b : books_)
        if (b.state == State::taken && b.asked.node == node) ++tally_.orphaned;
}

void Invariants::node_stalled(std::uint32_t node, Ticks until) {
    nodes_[node].stalls.emplace_back(events_.now(), until);
}

void Invariants::machine_cut(simnet::Machine machine, bool on) {
    auto& cuts = cuts_[machine];
    if (on)
        cuts.emplace_back(events_.now(), 0);
    else if (!cuts.empty() && cuts.back().second == 0)
        cuts.back().second = events_.now();
}

const Invariants::Life* Invariants::life_at(std::uint32_t node, Ticks when) const {
    const auto& lives = nodes_[node].lives;
    for (auto it = lives.rbegin(); it != lives.rend(); ++it)
        if (it->from <= when) return &*it;
    return nullptr;
}

bool Invariants::machine_reached(simnet::Machine machine, Ticks from, Ticks until) const {
    // What was under way when it was cut off comes up to some seconds after it is back.
    constexpr Ticks after = 25000;
    for (const auto& [a, b] : cuts_[machine])
        if (a <= until && (b == 0 || b + after >= from)) return false;
    return true;
}

bool Invariants::undisturbed(std::uint32_t node, Ticks from, Ticks until) const {
    const Life* life = life_at(node, from);
    if (life == nullptr || (life->until != 0 && life->until <= until)) return false;
    for (const auto& [a, b] : nodes_[node].stalls)
        if (a <= until && b >= from) return false;
    return machine_reached(node, from, until);
}

// ---- clients

void Invariants::asked(const fakes::Asked& what) {
    Book& b = book(what.tunnel);
    to(b, State::asked);
    b.asked = what;
    b.attempt = attempts_.size();
    attempts_.push_back({what.node, what.profile, events_.now(), 0, Answer::none});
    b.asked_at = events_.now();
    b.taken_at = b.left_at = 0;
    if (what.mid_flow) ++tally_.resumed;
}

void Invariants::taken(fakes::TunnelNo tunnel) {
    Book& b = book(tunnel);
    if (b.state != State::asked) return;
    to(b, State::taken);
    b.taken_at = events_.now();
    ++tally_.taken;
}

void Invariants::answered(fakes::TunnelNo tunnel, Answer answer, Ticks written_at) {
    Book& b = book(tunnel);
    const bool waited = b.state == State::asked || b.state == State::taken;
    if (answer == Answer::move) {
        to(b, State::over);
        return;
    }
    if (!waited) return broke("twice", named(tunnel) + " was answered though it is not waiting");
    attempts_[b.attempt].answer = answer;
    attempts_[b.attempt].answered_at = events_.now();
    if (b.taken_at != 0 && written_at > b.taken_at + b.asked.wait + day_.answer_slack &&
        undisturbed(b.asked.node, b.taken_at, written_at))
        broke("answer", named(tunnel) + " was answered " +
                            std::to_string((written_at - b.taken_at - b.asked.wait) / 10) + " ms late");
    const bool ran =
        std::any_of(b.setups.begin(), b.setups.end(), [](const Setup& s) { return may_have_run(s.answer); });
    if (answer == Answer::up) {
        ++tally_.opened;
        to(b, State::open);
        b.opened_at = events_.now();
        if (std::none_of(b.setups.begin(), b.setups.end(),
                         [](const Setup& s) { return s.answer == Answer::up; }))
            broke("twice", named(tunnel) + " was opened by no host");
        return;
    }
    to(b, State::over);
    ++(answer == Answer::busy ? tally_.declined : tally_.failed);
    if (answer == Answer::busy) ledger_.declined(any_idle_ && any_idle_());
    if (answer != Answer::busy || !ran || b.asked.mid_flow) return;
    const fakes::Profile& p = profile(b);
    const bool safe =
        p.effect == fakes::Idempotency::idempotent ||
        (p.effect == fakes::Idempotency::idempotent_with_key && p.scope == fakes::DeduplicationScope::all &&
         written_at <= b.setups.front().sent + p.window + margin + day_.held_up);
    if (!safe) broke("effect", named(tunnel) + " was declined though it may have run");
}

void Invariants::said_on(fakes::TunnelNo tunnel, std::string_view text) {
    broke("twice", named(tunnel) + " heard '" + std::string(text.substr(0, 20)) + "' after its last words");
}

void Invariants::left(fakes::TunnelNo tunnel) {
    Book& b = book(tunnel);
    to(b, State::over);
    b.left_at = events_.now();
}

void Invariants::gave_up(fakes::TunnelNo tunnel) {
    Book& b = book(tunnel);
    const bool owed = b.state == State::taken;
    to(b, State::over);
    b.left_at = events_.now();
    if (owed && undisturbed(b.asked.node, b.taken_at, events_.now()))
        broke("answer", named(tunnel) + " got no answer in its time");
}

void Invariants::cut(fakes::TunnelNo tunnel, bool by_reset, Ticks written) {
    Book& b = book(tunnel);
    const State was = b.state;
    to(b, State::over);
    ++tally_.cut;
    const Life* life = life_at(b.asked.node, b.asked_at);
    const bool gone = life == nullptr || life->until != 0;
    if (gone) {
        const bool had_time =
            life != nullptr && life->leaving_since != 0 && life->until - life->leaving_since >= leaving_takes;
        const bool owes = life != nullptr &&
                          (life->how == NodeEnd::left || (life->how == NodeEnd::killed_late && had_time));
        if (was == State::open && owes && !day_.packet_passthrough && !b.asked.slow_reader &&
            undisturbed(b.asked.node, life->leaving_since, life->until - 1))
            broke("leave", named(tunnel) + " was cut off when its node left");
        return;
    }
    if (!undisturbed(b.asked.node, b.asked_at, events_.now())) return;
    // Where its host opened it and reset it at once, the reset is passed on and may overtake the answer.
    const bool host_reset = b.host_ended_at != 0 && by_reset;
    if (was == State::taken && !b.asked.mid_flow && !host_reset)
        return broke("answer", named(tunnel) + " was closed without an answer");
    if (was != State::open) return;
    if (b.host_ended_at != 0) {
        const Ticks late =
            written - b.host_ended_at - end_passed_in - 2 * day_.weather.most_delay - day_.held_up;
        if (!by_reset && late > margin && !b.asked.slow_reader &&
            machine_reached(machine_of_host(b.holder), b.host_ended_at - 1, events_.now()))
            broke("end_late", named(tunnel) + " was ended " + std::to_string((late + end_passed_in) / 10) +
                                  " ms after its host had ended it");
        return;
    }
    // The host keeps it, and can be reached, and says something.
    if (hosts_[b.holder].mute || b.asked.slow_reader ||
        !machine_reached(machine_of_host(b.holder), b.asked_at, events_.now()))
        return;
    broke("cut_off", named(tunnel) + " was cut off though host " + std::to_string(b.holder) + " keeps it");
}

void Invariants::unanswered(fakes::TunnelNo tunnel, Ticks span) {
    const Book& b = book(tunnel);
    if (b.state != State::open || !undisturbed(b.asked.node, events_.now() - span - second, events_.now()))
        return;
    broke("silent", named(tunnel) + " has had no line for " + std::to_string(span / 10) + " ms");
}

void Invariants::rude_left_waiting(std::uint32_t node, std::string_view how) {
    if (undisturbed(node, events_.now() - 3 * second, events_.now()))
        broke("bad_client", "a bad client at node " + std::to_string(node) + " had " + std::string(how));
}

// ---- operators

void Invariants::judge_drained(std::uint32_t node) {
    if (day_.packet_passthrough || nodes_[node].drained_since == 0) return;
    for (const Book& b : books_) {
        if (b.asked.node != node || b.state != State::open || b.asked.slow_reader) continue;
        // One that opened late is moved within a moment; one whose host has ended it ends by itself.
        if (events_.now() - b.opened_at < second || b.host_ended_at != 0) continue;
        if (!machine_reached(machine_of_host(b.holder), b.opened_at, events_.now()) || hosts_[b.holder].mute)
            continue;
        broke("drained", named(b.asked.tunnel) + " is held 4 s after its node was told to drain");
    }
}

namespace {

// The number behind a name in JSON that the node wrote; -1: there is none.
long number_in(std::string_view body, std::string_view name) {
    const auto at = body.find(std::string("\"").append(name).append("\":"));
    long n = -1;
    if (at != std::string_view::npos)
        std::from_chars(body.data() + at + name.size() + 3, body.data() + body.size(), n);
    return n;
}

}  // namespace

// Page: counts are true to 1% or 3 and half a second old at most; of a client that had gone any count will
// do.
void Invariants::figures_told(std::uint32_t node, const std::string& body, Ticks since, bool mixed) {
    constexpr Ticks old = 6000, ending = 45000;
    const Ticks now = events_.now();
    const auto check = [&](std::string_view what, long told, long seen, long missing, long more,
                           double part) {
        const long slack = std::max(3L, static_cast<long>(part * static_cast<double>(seen)));
        if (told < seen - missing - slack || told > seen + more + slack)
            broke("figures", "node " + std::to_string(node) + " tells " + std::to_string(told) + " " +
                                 std::string(what) + ", seen were " + std::to_string(seen) + " (less " +
                                 std::to_string(missing) + ", more " + std::to_string(more) + ")");
    };
    long open = 0, open_missing = 0, open_more = 0, came = 0;
    for (const Book& b : books_) {
        if (b.asked.node != node || b.state == State::unknown) continue;
        if (b.state == State::open || b.state == State::taken) ++open;
        if (now - b.changed_at < old) ++open_missing;
        if (b.state == State::asked || (b.state == State::over && now - b.changed_at < ending)) ++open_more;
    }
    for (const auto& [from, sent] : setups_came_) came += from == node && sent >= since ? 1 : 0;
    check("open", number_in(body, "open_requests"), open, open_missing, open_more, 0.1);
    const long listed = number_in(body, "registry_entries"), out = number_in(body, "out_of_rotation");
    if (listed < 0 || listed > static_cast<long>(day_.hosts) || out < 0 || out > listed)
        broke("figures", "node " + std::to_string(node) + " lists " + std::to_string(listed) +
                             " hosts and avoids " + std::to_string(out));
    if (mixed) return;  // which process answered whom is not seen on the wire
    const long relayed = number_in(std::string_view(body).substr(body.rfind("},")), "relayed");
    for (std::uint32_t p = 0; p < town_->profiles.size(); ++p) {
        const auto at = body.find(std::string("\"").append(town_->profiles[p].name).append("\":{"));
        if (at == std::string::npos) return broke("figures", "a class is missing");
        const std::string_view row = std::string_view(body).substr(at, body.find('}', at) - at);
        long seen[3] = {}, fresh[3] = {}, unsure = 0;
        for (const Attempt& b : attempts_) {
            if (b.node != node || b.profile != p) continue;
            const int kind = b.answer == Answer::none                            ? -1
                             : b.answer == Answer::up || b.answer == Answer::bye ? 0
                             : b.answer == Answer::busy                          ? 1
                                                                                 : 2;
            // What came before the process began may have waited for it.
            const bool before = b.asked_at < since;
            if (kind < 0 || before) {
                unsure += !before || since - b.asked_at < 4 * second ? 1 : 0;
                continue;
            }
            ++seen[kind];
            if (now - b.answered_at < old) ++fresh[kind];
        }
        constexpr const char* names[] = {"fulfilled", "throttled", "faulted"};
        for (int i = 0; i < 3; ++i)
            check(names[i], number_in(row, names[i]), seen[i], fresh[i], unsure, 0.01);
    }
    if (relayed < came - 3 - came / 50)
        broke("figures", "node " + std::to_string(node) + " tells " + std::to_string(relayed) +
                             " attempts, hosts saw " + std::to_string(came));
}

// ---- hosts

// Guards against work for nobody: the client closed its connection before the attempt began.
void Invariants::judge_late_attempt(const Book& b, std::uint32_t host, simnet::Machine node, Ticks sent) {
    constexpr Ticks allowed = 1000;
    if (b.left_at == 0 || sent <= b.left_at + allowed + margin) return;
    // A host that hung meanwhile read it late: when its first byte was sent is not known.
    if (hosts_[host].mute || hosts_[host].mute_until >= b.asked_at) return;
    if (!machine_reached(machine_of_host(host), b.left_at, events_.now()) ||
        !machine_reached(node, b.left_at, events_.now()))
        return;
    broke("late_attempt", named(b.asked.tunnel) + " went to host " + std::to_string(host) + " " +
                              std::to_string((sent - b.left_at) / 10) + " ms after its client had left");
}

void Invariants::judge_effect(const Book& b, std::uint32_t host, Ticks sent) {
    const fakes::Profile& p = profile(b);
    if (p.effect == fakes::Idempotency::idempotent) return;
    for (const Setup& s : b.setups) {
        if (!may_have_run(s.answer)) continue;
        const auto place = [&](std::uint32_t h) {
            return p.scope == fakes::DeduplicationScope::all
                       ? 0U
                       : h % 2;  // zones and cells go by the host's number
        };
        if (p.effect == fakes::Idempotency::non_idempotent)
            return broke("effect",
                         named(b.asked.tunnel) + " ran a second time, at host " + std::to_string(host));
        if (place(s.host) != place(host) || std::abs(sent - s.sent) > p.window + margin)
            return broke("effect", named(b.asked.tunnel) + " was repeated where its mark is not known");
    }
}

void Invariants::setup_came(fakes::TunnelNo tunnel, std::uint32_t host, simnet::End end, Ticks first,
                            bool mid_flow) {
    Book& b = book(tunnel);
    ++tally_.setups;
    if (b.state == State::unknown) return broke("line", named(tunnel) + " is one that no client asked for");
    const simnet::Machine node = network_.machine_of(end.other());
    if (!mid_flow) {
        // What a host that hung reads long after the node gave it up is no longer out.
        for (const Setup& s : b.setups)
            if (network_.is_open(end.other()) && s.answer == Answer::none &&
                network_.is_open(s.end.other()) && machine_reached(node, s.sent, events_.now()))
                broke("at_once", named(tunnel) + " is set up at host " + std::to_string(host) + " while " +
                                     std::to_string(s.host) + " still has it");
        judge_late_attempt(b, host, node, first);
        judge_effect(b, host, first);
        const Ticks since = nodes_[node].not_in_service[host];
        if (since != 0 && first > since + drain_grace + margin && undisturbed(node, since, events_.now()))
            broke("drain", named(tunnel) + " went to host " + std::to_string(host) + " " +
                               std::to_string((first - since) / 10) + " ms after its node was told");
    }
    b.setups.push_back({host, end, first});
    // Whoever has not been told of its start takes it for warm.
    const bool told = nodes_[node].told_at[host] > hosts_[host].started_at;
    ledger_.setup_came(host, first - events_.start_time(), mid_flow, budget_ ? budget_(host) : 0, told);
    setups_came_.emplace_back(node, first);
}

void Invariants::setup_answered(fakes::TunnelNo tunnel, std::uint32_t host, Answer answer) {
    Book& b = book(tunnel);
    for (auto it = b.setups.rbegin(); it != b.setups.rend(); ++it)
        if (it->host == host && it->answer == Answer::none) {
            it->answer = answer;
            break;
        }
    if (answer == Answer::up) {
        b.holder = host;
        b.host_ended_at = 0;
    } else {
        ++tally_.setups_failed;
    }
}

bool Invariants::told_surely() const {
    // The newest stamp wins: of two placements within less than the clocks differ by, the earlier may.
    if (day_.clocks_apart > 0) return false;
    if (!day_.peers || day_.weather.lost > 0 || day_.weather.datagram_jitter > 1000) return false;
    using K = FaultKind;
    return std::none_of(day_.faults.begin(), day_.faults.end(), [](const Fault& f) {
        return f.kind == K::datagrams_lost || f.kind == K::datagrams_late || f.kind == K::node_vanish ||
               f.kind == K::path_cut || f.kind == K::network_slow || f.kind == K::node_starve ||
               f.kind == K::node_stall;
    });
}

void Invariants::not_held(fakes::TunnelNo tunnel, std::uint32_t host) {
    ++tally_.not_held;
    const Book& b = book(tunnel);
    const Ticks now = events_.now();
    if (!told_surely() || b.opened_at == 0 || b.asked_at - b.opened_at < 2 * second) return;
    // Its record is on a chain of two nodes and at its placer: any one of them may have ended.
    constexpr Ticks refreshed = 120000, settled = 30000, parked = 40000;
    int ended = 0;
    Ticks last_end = 0;
    for (const Node& n : nodes_)
        for (const Life& l : n.lives) {
            if (l.until != 0 && now - l.until < refreshed) ++ended, last_end = l.until;
            if (l.from != events_.start_time() && now - l.from < settled) return;
        }
    if (ended != 1 || now - last_end > parked) return;
    // A client that reads nothing may not know yet that it was moved.
    const bool sound = b.host_ended_at == 0 && !b.asked.slow_reader && !hosts_[b.holder].mute &&
                       nodes_[b.asked.node].not_in_service[b.holder] == 0 &&
                       machine_reached(machine_of_host(b.holder), b.opened_at, now) &&
                       std::none_of(day_.faults.begin(), day_.faults.end(), [&](const Fault& f) {
                           return row_of(f.kind).who == FaultRow::Who::host && f.who == b.holder;
                       });
    if (sound)
        broke("astray", named(tunnel) + " went to host " + std::to_string(host) + " though host " +
                            std::to_string(b.holder) + " holds it");
}

void Invariants::host_ended(fakes::TunnelNo tunnel, std::uint32_t host) {
    Book& b = book(tunnel);
    if (b.holder == host && b.host_ended_at == 0) b.host_ended_at = events_.now();
}

void Invariants::pushed_over(std::uint32_t host, double asked, double bears) {
    broke("cold", "host " + std::to_string(host) + " was asked for " + std::to_string(asked) +
                      " cores and bears " + std::to_string(bears));
}

void Invariants::bad_line(std::uint32_t host, std::string_view line) {
    broke("line", "host " + std::to_string(host) + " got '" + std::string(line.substr(0, 40)) + "'");
}

void Invariants::told(std::uint32_t node, std::uint32_t host, bool active) {
    if (node >= nodes_.size()) return;
    nodes_[node].told_at[host] = events_.now();
    Ticks& since = nodes_[node].not_in_service[host];
    if (since == 0 && !active)
        for (const Book& b : books_)
            if (b.state == State::taken && b.asked.node == node && !b.setups.empty() &&
                b.setups.back().host == host && b.setups.back().answer == Answer::none)
                ++tally_.raced;
    since = active ? 0 : since != 0 ? since : events_.now();
}

void Invariants::line_wrong(fakes::TunnelNo tunnel, std::string_view what, std::string_view line) {
    const Book& b = book(tunnel);
    // Half a line is left of a connection whose node or host has died.
    if (what == "cut within a line") {
        const Life* life = life_at(b.asked.node, b.asked_at);
        if (life == nullptr || life->until != 0 || b.host_ended_at != 0 || b.asked.slow_reader ||
            !undisturbed(b.asked.node, b.asked_at, events_.now()) || hosts_[b.holder].mute ||
            !machine_reached(machine_of_host(b.holder), b.asked_at, events_.now()))
            return;
    }
    broke("line", named(tunnel) + ": " + std::string(what) + ": '" + std::string(line.substr(0, 40)) + "'");
}

}  // namespace lemonstair::simulation
