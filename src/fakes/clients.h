// Fake clients: each opens one tunnel, sends lines on it and, if it is lost, opens a new one until the time
// of its plan is over.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/environment.h"
#include "fakes/front.h"
#include "simnet/random_source.h"

namespace lemonstair::fakes {

// One client: it keeps a tunnel for this key open during this time.
struct ClientPlan {
    std::string key;
    std::uint32_t group = 0;    // 0: none
    std::uint32_t profile = 0;  // index in TestEnvironment::profiles
    double load = 0;            // in cores; sent to the node as an estimate
    Ticks from = 0, until = 0;  // since the start of the scenario
};

// How clients behave: pauses and intervals in tenths of a ms, shares from 0 to 1.
struct ClientBehavior {
    int max_attempts = 6;
    Ticks min_pause = 200, max_pause = 5000;
    double abandon_share = 0;  // requests that the client abandons before their timeout
    // Of the abandoned requests: the client first sends more than all buffers hold, so that its end stands
    // behind bytes that are not on their way yet.
    double flood_share = 0;
    double slow_reader_share = 0;
    Ticks line_interval = 20000;
};

// All clients of a run. What they send and receive is reported to the execution log.
class FakeClients final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    // waiting: the first line was sent and is not answered; pausing: before the next attempt.
    enum class State : std::uint8_t { away, connecting, waiting, open, pausing, done };
    FakeClients(TestEnvironment& environment, Front& front, std::vector<Machine> machines,
                std::vector<ClientPlan> plans, const ClientBehavior& client_behavior,
                simnet::RandomSource random);
    void start();
    // Adds clients after start(). None of them is a slow reader.
    void add(std::vector<ClientPlan> plans);
    // All clients leave and open no more connections.
    void stop_all();
    // The request line, with its line end, of a random client whose request has reached its node and waits
    // for its answer, and that node. The line is empty if there is no such client.
    struct PendingRequest {
        std::string line;
        std::uint32_t node = 0;
    };
    PendingRequest random_pending_request(simnet::RandomSource& random) const;
    // Whether the client with this request line still waits for its answer, or its tunnel is open.
    bool is_current(std::string_view line) const;
    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

    // Counts of events since the start of the run. declined: answered with BUSY; failed: with another
    // refusal; cut: connections that ended without a final answer; resumed: tunnels of these that continue
    // through another node.
    struct Tally {
        std::uint64_t opened = 0, declined = 0, failed = 0, timed_out = 0, moved = 0, cut = 0, resumed = 0,
                      lines = 0;
    };
    const Tally& tally() const { return tally_; }
    std::size_t open_now() const;

  private:
    struct Client {
        ClientPlan plan;
        State state = State::away;
        End end;
        bool is_delivered = false;  // the request has reached the node
        bool has_connection = false, slow_reader = false, reads = true, finished_sending = false,
             resuming = false, reconnecting = false;
        bool gap_echoed = false, gap_pushed = false;  // lines may be missing after a change of node
        Machine machine = 0;
        std::uint32_t node = 0;
        TunnelId tunnel = 0, last_tunnel = 0;
        std::uint32_t timer_generation = 0;  // timers of earlier generations are stale
        int attempts = 0;
        LineReader reader;
        std::string request_line, unsent;
        // Echoes answer the lines of the client; pushes are the server's own lines.
        std::uint32_t lines_sent = 0, echoes_received = 0, pushes_received = 0;
        Ticks unechoed_since = 0, reported_silence = 0, lost_at = 0;
    };
    enum Kind : std::uint64_t {
        connect_due,
        timeout,
        send_due,
        toggle_reading,
        abandon_due,
        delivered,
        leave_due,
        close_due
    };
    std::uint64_t token(Kind kind, std::uint32_t index) const {
        return std::uint64_t{kind} << 56 | std::uint64_t{clients_[index].timer_generation & 0xffffffU} << 32 |
               index;
    }
    void transition_to(std::uint32_t index, State to);
    void connect(std::uint32_t index);
    void send_open(std::uint32_t index);
    void read(std::uint32_t index);
    bool on_line(std::uint32_t index, std::string_view text);
    bool take_answer(std::uint32_t index, std::string_view text);
    void open(std::uint32_t index);
    void take_refusal(std::uint32_t index, Answer answer, std::string_view rest);
    void take_move(std::uint32_t index);
    void take_line(std::uint32_t index, std::string_view text);
    void time_out(std::uint32_t index);
    void send_line(std::uint32_t index);
    void leave(std::uint32_t index);
    void abandon(std::uint32_t index);
    void leave_behind_flood(std::uint32_t index);
    void continue_flood(End end);
    void write(std::uint32_t index, std::string_view text);
    void close_connection(std::uint32_t index);
    void await_close(std::uint32_t index);
    void drain_closing(End end);
    void pause(std::uint32_t index, Ticks span);
    void retry(std::uint32_t index, Ticks span);
    void finish(std::uint32_t index);
    void on_disconnect(std::uint32_t index, bool by_reset);

    TestEnvironment& environment_;
    Front& front_;
    std::vector<Machine> machines_;
    ClientBehavior behavior_;
    simnet::RandomSource random_;
    std::vector<Client> clients_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    // By number of the end: tunnels whose final answer was received. Further bytes are a fault of the node.
    std::unordered_map<std::uint64_t, TunnelId> closing_;
    // By number of the end: what the system still has to send for a client that has closed its connection.
    std::unordered_map<std::uint64_t, std::string> floods_;
    TunnelId next_tunnel_ = 1;
    Tally tally_;
};

}  // namespace lemonstair::fakes
