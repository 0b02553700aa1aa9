#include "hot_restart/session.h"

#include <algorithm>
#include <utility>

namespace lemonstair::hot_restart {

namespace {

using net::Ticks;

// The platform gives a new process six seconds. It asks an old one for two; one that has no time for it,
// being taken over itself, is asked again until four have passed.
constexpr Ticks longest_asking = 20000, longest_waiting = 40000, longest_offering = 50000;
constexpr Ticks look_every = 2500, again_after = 2000;
constexpr std::size_t most_out = 16, descriptors_a_tunnel = 2, descriptors_spared = 8;
enum Timer : std::uint64_t { look_timer, again_timer };

}  // namespace

Session::Session(net::EventLoop& loop, Delegate& party, log::Log& log, std::string node, std::string nearby)
    : loop_(loop),
      party_(party),
      log_(log),
      node_(std::move(node)),
      on_(!nearby.empty()),
      line_(loop, *this, std::move(nearby), encode({.kind = Kind::refuse, .yes = true})) {}

void Session::start() {
    started_ = since_ = loop_.now();
    if (on_ && line_.call()) {
        go(Event::found_other);
        return ask();
    }
    if (on_ && !line_.listen())
        log_.error() << "no new version can take over: its meeting place cannot be had";
    party_.begin({}, {});
}

void Session::ask() {
    send({.kind = Kind::greet, .held = static_cast<std::uint32_t>(party_.held()), .text = node_});
    // Asked late, it has no more than what is left of the whole wait.
    watch_over(std::min(longest_asking, started_ + longest_waiting - loop_.now()));
}

void Session::watch_over(Ticks longest) {
    give_up_at_ = loop_.now() + longest;
    if (!std::exchange(looking_, true)) loop_.schedule(loop_.now() + look_every, *this, look_timer);
}

// One function for all changes; false where the event cannot come here.
bool Session::go(Event event) {
    const auto to = next(stand_, event);
    if (!to) return false;
    if (*to == stand_) return true;
    const Role from = std::exchange(stand_, *to);
    log_.info() << "hand-over: " << name_of(from) << " -> " << name_of(*to) << " after "
                << (loop_.now() - std::exchange(since_, loop_.now())) / 10 << " ms, tunnels gone " << went_
                << ", come " << came_ << ", descriptors held here " << party_.held() << ", there "
                << held_there_;
    if (answers(*to) && !line_.listens()) line_.listen();
    if (!answers(*to)) line_.stop_listening();
    if (*to == Role::alone) {
        party_.held_elsewhere(held_there_ = 0);
        for (const auto number : std::exchange(out_, {})) party_.tunnel_gone(number, false);
    }
    // Who asked begins with what it has heard, before anything else is told of it.
    if (from != Role::asking) party_.stand_changed(from, *to);
    return true;
}

void Session::part(std::string_view why) {
    if (stand_ == Role::alone && !line_.stands()) return;
    log_.error() << "hand-over: the line to the other process is given up, " << why;
    line_.hang_up();
    if (stand_ == Role::asking) return begin_alone();
    go(Event::parted);
}

// The old process told nothing that could be used.
void Session::begin_alone() {
    go(Event::parted);
    party_.begin({}, {});
}

void Session::broken() {
    if (stand_ == Role::taking && !party_.has_tunnels()) log_.info() << "hand-over: the old process is gone";
    if (stand_ == Role::asking) return ask_later();
    go(Event::parted);
}

// An old process that has no time now, or whose refusal was lost with its line, may have some soon; one that
// died is not found again.
void Session::ask_later() {
    line_.hang_up();
    list_.clear();
    memory_.clear();
    if (loop_.now() - started_ < longest_waiting)
        return loop_.schedule(loop_.now() + again_after, *this, again_timer);
    begin_alone();
}

// A third process, while a second takes the first one's place, has to wait.
bool Session::takes_call() {
    if (stand_ != Role::alone || line_.stands()) return false;
    watch_over(longest_offering);
    return true;
}

void Session::heard(std::string_view bytes, std::vector<net::Fd>& descriptors) {
    Packet packet;
    switch (decode(bytes, packet)) {
        case Read::good:
            return take(packet, descriptors);
        case Read::other_version:
            if (stand_ == Role::alone) displaced_ = true;
            send({.kind = Kind::refuse});
            return part("it is of another version");
        case Read::torn:
            return part("it says what cannot be read");
    }
}

void Session::take(const Packet& p, std::vector<net::Fd>& descriptors) {
    const Role stand = stand_;
    switch (p.kind) {
        case Kind::greet:
            if (stand != Role::alone) break;
            if (p.text != node_) return part("it is another node");
            go(Event::was_greeted);
            party_.held_elsewhere(held_there_ = p.held);
            return tell_state();
        case Kind::refuse:
            if (stand == Role::asking && p.yes) return ask_later();
            if (stand == Role::offering) displaced_ = true;
            return part("it refuses");
        case Kind::list_part:
        case Kind::memory_part: {
            if (stand != Role::asking) break;
            std::string& part_of = p.kind == Kind::list_part ? list_ : memory_;
            if (list_.size() + memory_.size() + p.text.size() > longest_state) break;
            part_of.append(p.text);
            // Older versions tell none.
            if (p.kind == Kind::list_part && p.number != 0)
                party_.other_clock_base(static_cast<Ticks>(p.number));
            return;
        }
        case Kind::told:
            if (stand != Role::asking) break;
            held_there_ = p.held;
            return take_state(p.number);
        case Kind::ready:
            if (!go(Event::other_ready)) break;
            return hand_over();
        case Kind::tunnel: {
            if (stand != Role::taking) break;
            const bool whole = descriptors.size() == 2;
            const bool taken =
                whole && party_.take_tunnel(p.text, std::move(descriptors[0]), std::move(descriptors[1]));
            came_ += taken ? 1 : 0;
            return send({.kind = Kind::has,
                         .yes = taken,
                         .held = static_cast<std::uint32_t>(party_.held()),
                         .number = p.number});
        }
        case Kind::has:
            if (!hands_over(stand) || out_.erase(p.number) == 0) break;
            went_ += p.yes ? 1 : 0;
            party_.held_elsewhere(held_there_ = p.held);
            party_.tunnel_gone(p.number, p.yes);
            return hand_over();
        case Kind::holds:
            return party_.held_elsewhere(held_there_ = p.held);
        case Kind::kinds_end:
            break;
    }
    part("it says what has no place here");
}

void Session::tell_state() {
    std::string list, memory;
    party_.tell_state(list, memory);
    tell_parts(Kind::list_part, list);
    tell_parts(Kind::memory_part, memory);
    send({.kind = Kind::told,
          .held = static_cast<std::uint32_t>(party_.held()),
          .number = list.size() + memory.size()});
}

void Session::tell_parts(Kind kind, std::string_view bytes) {
    for (; !bytes.empty(); bytes.remove_prefix(std::min(bytes.size(), longest_part)))
        send({.kind = kind,
              .number = kind == Kind::list_part ? static_cast<std::uint64_t>(party_.clock_base()) : 0,
              .text = bytes.substr(0, longest_part)});
}

// The old process ceases to take clients when it hears that this one is ready, and this one begins before it
// says so: there is no moment without either.
void Session::take_state(std::uint64_t size) {
    if (size != list_.size() + memory_.size()) return part("what it told is not whole");
    party_.held_elsewhere(held_there_);
    go(Event::state_taken);
    party_.begin(std::exchange(list_, {}), std::exchange(memory_, {}));
    send({.kind = Kind::ready});
    tell_held();
}

// For a tunnel on its way both hold two descriptors: at most so many are as half of what is left to both
// allows.
void Session::hand_over() {
    if (!hands_over(stand_) || std::exchange(handing_now_, true)) return;
    const std::size_t held = party_.held() + held_there_ + descriptors_spared;
    const std::size_t left = party_.granted() > held ? party_.granted() - held : 0;
    const std::size_t most = std::clamp<std::size_t>(left / (2 * descriptors_a_tunnel), 1, most_out);
    while (out_.size() < most && line_.stands() && line_.waiting() == 0) {
        TransferredTunnel tunnel;
        if (!party_.next_tunnel(tunnel)) break;
        out_.insert(tunnel.number);
        go(Event::tunnel_left);
        send({.kind = Kind::tunnel, .number = tunnel.number, .text = tunnel.bytes},
             {tunnel.client, tunnel.host});
    }
    handing_now_ = false;
    if (stand_ == Role::handing && !party_.has_tunnels()) go(Event::nothing_left);
}

void Session::send(const Packet& packet, std::vector<int> descriptors) {
    line_.send(encode(packet), std::move(descriptors));
}

void Session::tell_held() {
    const std::size_t held = party_.held();
    if (held == std::exchange(held_told_, held)) return;
    send({.kind = Kind::holds, .held = static_cast<std::uint32_t>(held)});
}

void Session::on_timer(std::uint64_t token) {
    if (token == again_timer) {
        if (stand_ != Role::asking || line_.stands()) return;
        if (line_.call()) return ask();
        return begin_alone();
    }
    looking_ = stand_ != Role::alone || line_.stands();
    if (!looking_) return;
    loop_.schedule(loop_.now() + look_every, *this, look_timer);
    // Guards against a process that is stuck, or greets and says no more.
    const bool waits = stand_ == Role::asking || stand_ == Role::offering || stand_ == Role::alone;
    if (waits && line_.stands() && loop_.now() >= give_up_at_) {
        if (stand_ == Role::asking) send({.kind = Kind::refuse});
        return part("it answers nothing");
    }
    if (stand_ == Role::taking || hands_over(stand_)) tell_held();
    hand_over();
}

}  // namespace lemonstair::hot_restart
