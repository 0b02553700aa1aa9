#include "fakes/server.h"

#include <algorithm>

namespace lemonstair::fakes {

namespace {

constexpr Ticks overload_check_interval = 1000;

}  // namespace

FakeServer::FakeServer(TestEnvironment& environment, std::uint32_t number, Machine machine,
                       const ServerTraits& traits, simnet::RandomSource random)
    : environment_(environment), number_(number), machine_(machine), traits_(traits), random_(random) {}

void FakeServer::start(bool slow_start, Ticks since) {
    if (state_ == State::up) return;
    ++incarnation_;
    state_ = State::up;
    started_ = slow_start ? since : 0;
    slow_start_until_ = slow_start ? since + traits_.slow_start_duration : 0;
    busy_until_ = environment_.now();
    overloaded_since_ = 0;
    reported_ = 0;
    fails_setups_ = declines_setups_ = hangs_ = false;
    environment_.network.listen(address(), *this, 256);
    environment_.note("server up", number_, slow_start ? 1 : 0);
    environment_.events.schedule(environment_.now() + 1, *this, token(report, 0));
    if (slow_start)
        environment_.events.schedule(environment_.now() + overload_check_interval, *this,
                                     token(overload_check, 0));
}

void FakeServer::stop() {
    if (state_ != State::up) return;
    state_ = State::down;
    ++incarnation_;
    environment_.note("server down", number_, open_count_);
    environment_.network.unlisten(address());
    for (Connection& connection : connections_) {
        if (connection.step == Step::open)
            environment_.execution_log.server_ended(connection.tunnel, number_);
        if (!connection.gone) environment_.network.reset(connection.end);
    }
    connections_.clear();
    by_end_.clear();
    by_tunnel_.clear();
    groups_.clear();
    open_count_ = 0;
    load_ = 0;
}

double FakeServer::slow_start_factor() const {
    if (environment_.now() >= slow_start_until_) return 1;
    const double left = static_cast<double>(slow_start_until_ - environment_.now()) /
                        static_cast<double>(traits_.slow_start_duration);
    return 1 - (1 - traits_.slow_start_initial_factor) * std::min(left, 1.0);
}

double FakeServer::capacity() const { return traits_.cores * slow_start_factor() / slowdown_; }

double FakeServer::demand() const { return load_ + traits_.group_load * static_cast<double>(groups_.size()); }

// Queues work that takes `ms` at a capacity of one core, and returns the time when it is done. Work is done
// in order; the more of the capacity the tunnels demand, the slower it is.
Ticks FakeServer::work(double ms) {
    const double spare = std::max(0.05, 1 - demand() / capacity());
    const double duration = ms * 10 / capacity() / std::min(1.0, spare + 0.3);
    busy_until_ =
        std::max(busy_until_, environment_.now()) + std::max<Ticks>(1, static_cast<Ticks>(duration));
    return busy_until_;
}

void FakeServer::check_overload() {
    if (environment_.now() >= slow_start_until_) return;
    const double overload_limit = traits_.overload_multiple * traits_.cores * slow_start_factor();
    if (demand() <= overload_limit) {
        overloaded_since_ = 0;
    } else if (overloaded_since_ == 0) {
        overloaded_since_ = environment_.now();
    } else if (environment_.now() - overloaded_since_ > traits_.overload_window) {
        environment_.execution_log.server_overloaded(number_, demand(), overload_limit);
        stop();
        state_ = State::overloaded;
        return;
    }
    environment_.events.schedule(environment_.now() + overload_check_interval, *this,
                                 token(overload_check, 0));
}

void FakeServer::hang(bool on) {
    hangs_ = on;
    environment_.note("server hangs", number_, on ? 1 : 0);
    if (on) return;
    for (std::uint32_t index = 0; index < connections_.size(); ++index)
        if (!connections_[index].gone && connections_[index].step != Step::ended) read(index);
}

void FakeServer::reset_some(double share) {
    for (std::uint32_t index = 0; index < connections_.size(); ++index) {
        Connection& connection = connections_[index];
        if (connection.gone || connection.step != Step::open || !random_.odds(share)) continue;
        environment_.network.reset(connection.end);
        connection.gone = true;
        finish(index, true);
    }
}

void FakeServer::move_clients(Ticks within) {
    move_interval_ = std::max<Ticks>(1, within / static_cast<Ticks>(open_count_ + 1));
    environment_.events.schedule(environment_.now() + move_interval_, *this, token(move_due, 0));
}

}  // namespace lemonstair::fakes
