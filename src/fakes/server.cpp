#include "fakes/server.h"

#include <algorithm>

namespace lemonstair::fakes {

namespace {

constexpr Ticks check_cold_every = 1000;

}  // namespace

FakeServer::FakeServer(TestEnvironment& town, std::uint32_t number, Machine machine,
                       const ServerTraits& traits, simnet::RandomSource chance)
    : town_(town), number_(number), machine_(machine), traits_(traits), chance_(chance) {}

void FakeServer::start(bool cold, Ticks since) {
    if (state_ == State::up) return;
    ++life_;
    state_ = State::up;
    started_ = cold ? since : 0;
    cold_until_ = cold ? since + traits_.cold : 0;
    busy_until_ = town_.now();
    pushed_since_ = 0;
    reported_ = 0;
    fails_ = refuses_ = hangs_ = false;
    town_.network.listen(address(), *this, 256);
    town_.note("host up", number_, cold ? 1 : 0);
    town_.events.schedule(town_.now() + 1, *this, token(report, 0));
    if (cold) town_.events.schedule(town_.now() + check_cold_every, *this, token(judge_cold, 0));
}

void FakeServer::stop() {
    if (state_ != State::up) return;
    state_ = State::down;
    ++life_;
    town_.note("host down", number_, tunnels_);
    town_.network.unlisten(address());
    for (Line& l : lines_) {
        if (l.step == Step::open) town_.witness.host_ended(l.tunnel, number_);
        if (!l.gone) town_.network.reset(l.end);
    }
    lines_.clear();
    by_end_.clear();
    by_tunnel_.clear();
    groups_.clear();
    tunnels_ = 0;
    load_ = 0;
}

double FakeServer::warmth() const {
    if (town_.now() >= cold_until_) return 1;
    const double left = static_cast<double>(cold_until_ - town_.now()) / static_cast<double>(traits_.cold);
    return 1 - (1 - traits_.slow_start_initial_factor) * std::min(left, 1.0);
}

double FakeServer::capacity() const { return traits_.cores * warmth() / slow_; }

double FakeServer::asked() const { return load_ + traits_.group_load * static_cast<double>(groups_.size()); }

// Work waits for what came before it; what all connections ask for together makes all of it slower.
Ticks FakeServer::work(double ms) {
    const double spare = std::max(0.05, 1 - asked() / capacity());
    const double takes = ms * 10 / capacity() / std::min(1.0, spare + 0.3);
    busy_until_ = std::max(busy_until_, town_.now()) + std::max<Ticks>(1, static_cast<Ticks>(takes));
    return busy_until_;
}

void FakeServer::check_cold() {
    if (town_.now() >= cold_until_) return;
    const double bears = traits_.overload_multiple * traits_.cores * warmth();
    if (asked() <= bears) {
        pushed_since_ = 0;
    } else if (pushed_since_ == 0) {
        pushed_since_ = town_.now();
    } else if (town_.now() - pushed_since_ > traits_.fall) {
        town_.witness.pushed_over(number_, asked(), bears);
        stop();
        state_ = State::fallen;
        return;
    }
    town_.events.schedule(town_.now() + check_cold_every, *this, token(judge_cold, 0));
}

void FakeServer::hang(bool on) {
    hangs_ = on;
    town_.note("host hangs", number_, on ? 1 : 0);
    if (on) return;
    for (std::uint32_t at = 0; at < lines_.size(); ++at)
        if (!lines_[at].gone && lines_[at].step != Step::ended) read(at);
}

void FakeServer::reset_some(double share) {
    for (std::uint32_t at = 0; at < lines_.size(); ++at) {
        Line& l = lines_[at];
        if (l.gone || l.step != Step::open || !chance_.odds(share)) continue;
        town_.network.reset(l.end);
        l.gone = true;
        over(at, true);
    }
}

void FakeServer::ask_to_leave(Ticks within) {
    leave_every_ = std::max<Ticks>(1, within / static_cast<Ticks>(tunnels_ + 1));
    town_.events.schedule(town_.now() + leave_every_, *this, token(leave_one, 0));
}

}  // namespace lemonstair::fakes
