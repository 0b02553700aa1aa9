// Fake of a chat server. It speaks the protocol of the platform and has a capacity in cores, which is smaller
// during its slow start. It goes down if it is overloaded during slow start, reports its load late and with
// noise, and fails on demand.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/environment.h"
#include "simnet/random_source.h"

namespace lemonstair::fakes {

// Loads and capacities are in cores, durations in tenths of a ms.
struct ServerTraits {
    double cores = 2;
    std::uint32_t zone = 0, cell = 0;
    std::size_t max_connections = 200;
    double setup_work_ms = 5, line_work_ms = 0.2;
    std::uint32_t push_bytes = 1;  // payload of the lines that it sends by itself, at most 4000
    double group_load = 0;         // load of a group, counted once however many of its tunnels are here
    Ticks report_interval = 5000;
    double report_noise = 0.05;
    double fixed_reported_load = 0;  // load that it always reports; 0: its real load, with noise
    // During slow start, the capacity grows linearly from the initial factor to 1. A demand that is above
    // overload_multiple times the current capacity for longer than overload_window takes the server down.
    Ticks slow_start_duration = 80000, overload_window = 15000;
    double slow_start_initial_factor = 0.33, overload_multiple = 2.5;
    Ticks full_backlog = 10000;  // queued work beyond which setups are declined
};

// A server on one machine. Each start() begins a new incarnation; events of earlier ones are ignored.
class FakeServer final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    // overloaded: it went down because of overload during slow start.
    enum class State : std::uint8_t { down, up, overloaded };

    FakeServer(TestEnvironment& environment, std::uint32_t number, Machine machine,
               const ServerTraits& traits, simnet::RandomSource random);

    // slow_start: the server is in slow start, as a process that started at `since`; otherwise it has full
    // capacity.
    void start(bool slow_start) { start(slow_start, environment_.now()); }
    void start(bool slow_start, Ticks since);
    // The process dies: connections are reset, new ones refused.
    void stop();
    State state() const { return state_; }
    bool runs() const { return state_ == State::up; }
    // Unix time in ms at which the process started; 0: long ago.
    std::int64_t up_since_ms() const { return started_ == 0 ? 0 : started_ / 10; }
    const ServerTraits& traits() const { return traits_; }
    net::Address address() const { return environment_.network.address_of(machine_, port); }
    Machine machine() const { return machine_; }
    std::size_t open_tunnels() const { return open_count_; }
    // Demand of its tunnels divided by its current capacity.
    double load() const { return demand() / capacity(); }
    bool in_slow_start() const { return slow_start_factor() < 1; }
    // Demand in cores above which it goes down during slow start.
    double overload_limit() const { return traits_.overload_multiple * traits_.cores * slow_start_factor(); }
    bool accepts_setups() const { return answers() && !fails_setups_ && !declines_setups_; }
    // Whether it would answer now.
    bool answers() const { return state_ == State::up && !hangs_ && !environment_.network.is_cut(machine_); }

    // ---- faults
    // Divides the capacity by this factor.
    void slow_down(double times) { slowdown_ = times; }
    void fail_setups(bool on) { fails_setups_ = on; }
    void decline_setups(bool on) { declines_setups_ = on; }
    // The server keeps its connections but neither reads nor answers.
    void hang(bool on);
    // Resets this share of the open tunnels, drawn at random.
    void reset_some(double share);
    // Sends MOVE to its clients, evenly spread over the duration.
    void move_clients(Ticks within);

    void on_stream_event(End end) override;
    void on_connection(const net::Address& at) override;
    void on_event(std::uint64_t token) override;

    static constexpr std::uint16_t port = 8443;

  private:
    enum class Step : std::uint8_t { first_line, working, open, ended };
    // A connection from a node. With packet passthrough, a tunnel whose connection was reset is parked here
    // until its client continues it.
    struct Connection {
        End end;
        Step step = Step::first_line;
        bool gone = false;  // the stream is closed; with packet passthrough the tunnel may be parked
        bool probe = false, mid_flow = false;
        LineReader reader;
        Ticks first_byte = 0, parked_since = 0;
        TunnelId tunnel = 0;
        std::uint32_t group = 0;
        double load = 0;
        // Echoes answer the lines of the client; pushes are the server's own lines.
        std::uint32_t lines_received = 0, echoes_sent = 0, pushes_sent = 0;
        std::string unsent;  // bytes that the network has not accepted yet
    };
    enum Kind : std::uint64_t { answer_setup, echo, push, report, move_due, overload_check, probe_answer };
    std::uint64_t token(Kind kind, std::uint64_t at) const {
        return std::uint64_t{kind} << 56 | std::uint64_t{incarnation_ & 0xffffU} << 40 | at;
    }
    void take_connection(End end);
    void read(std::uint32_t index);
    bool on_line(std::uint32_t index, std::string_view text);
    bool first_line(std::uint32_t index, std::string_view text);
    bool open_line(std::uint32_t index, std::string_view rest);
    void client_line(std::uint32_t index, std::string_view text);
    void send_echo(std::uint32_t index);
    bool send_pushes(std::uint32_t index);
    void answer_probe(std::uint32_t index, bool with_load);
    bool move_one();
    void answer(std::uint32_t index);
    void begin(std::uint32_t index);
    void send(std::uint32_t index, std::string_view text);
    void send_unsent(std::uint32_t index);
    void finish(std::uint32_t index, bool by_server);
    double capacity() const;
    double slow_start_factor() const;
    double demand() const;
    Ticks work(double ms);
    void check_overload();

    TestEnvironment& environment_;
    std::uint32_t number_;
    Machine machine_;
    ServerTraits traits_;
    simnet::RandomSource random_;
    State state_ = State::down;
    std::uint32_t incarnation_ = 0;
    Ticks started_ = 0, slow_start_until_ = 0, busy_until_ = 0, overloaded_since_ = 0;
    double slowdown_ = 1;
    bool fails_setups_ = false, declines_setups_ = false, hangs_ = false;
    std::deque<Connection> connections_;  // indices are not reused within an incarnation
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    std::unordered_map<TunnelId, std::uint32_t> by_tunnel_;
    std::unordered_map<std::uint32_t, int> groups_;
    std::size_t open_count_ = 0;
    double load_ = 0, reported_ = 0;
    Ticks move_interval_ = 0;
};

}  // namespace lemonstair::fakes
