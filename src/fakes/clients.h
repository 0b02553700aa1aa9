// Stand-ins of the clients and of the front that deals them out among the nodes: members who want a
// connection, keep it, lose it and come again; and clients who send what no client should, or say nothing.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/environment.h"
#include "simnet/random_source.h"

namespace lemonstair::fakes {

// The front takes in a node that answers PING, and notices after a while that one has died.
class Front final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    static constexpr std::uint32_t none = 0xffffffffU;
    Front(TestEnvironment& town, Machine machine, std::vector<net::Address> nodes, Ticks notices_after,
          simnet::RandomSource chance);
    void start();
    // A node that is dealt clients; none where no node is.
    std::uint32_t deal();
    std::uint32_t deal_but(std::uint32_t node);
    const net::Address& address(std::uint32_t node) const { return nodes_[node].at; }
    std::size_t size() const { return nodes_.size(); }
    // Told that a node leaves on purpose: it is dealt no one from a moment later on.
    void leaves(std::uint32_t node, Ticks after);

    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct Checked {
        net::Address at;
        End end;
        bool asking = false, asked = false, in = false, leaving = false;
        Ticks answered_at = 0;
        std::string got;
    };
    void check(std::uint32_t node);
    TestEnvironment& town_;
    Machine machine_;
    std::vector<Checked> nodes_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    Ticks notices_after_;
    simnet::RandomSource chance_;
};

// One member's wish for a connection.
struct Wish {
    std::string key;
    std::uint32_t group = 0;    // 0: none
    std::uint32_t profile = 0;  // place in the town's
    double load = 0;            // in cores; told to the node as a guess
    Ticks from = 0, until = 0;  // since dawn
};

struct ClientBehavior {
    int most_tries = 6;
    Ticks least_pause = 200, most_pause = 5000;
    double impatient = 0;  // share of waits that the client leaves
    double slow_readers = 0;
    Ticks line_every = 20000;
};

class FakeClients final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    enum class State : std::uint8_t { away, calling, waiting, open, pausing, done };
    FakeClients(TestEnvironment& town, Front& front, std::vector<Machine> machines, std::vector<Wish> wishes,
                const ClientBehavior& manners, simnet::RandomSource chance);
    void start();
    // More of them, from now on.
    void add(std::vector<Wish> wishes);
    // All that still wait or talk go home.
    void go_home();
    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

    struct Tally {
        std::uint64_t opened = 0, declined = 0, failed = 0, timed_out = 0, moved = 0, cut = 0, resumed = 0,
                      lines = 0;
    };
    const Tally& tally() const { return tally_; }
    std::size_t open_now() const;

  private:
    struct Member {
        Wish wish;
        State state = State::away;
        End end;
        bool has_end = false, slow = false, reads = true, ends = false, resuming = false, came_before = false;
        bool gap_echoed = false, gap_heard = false;  // lines may be missing where packets took another way
        Machine machine = 0;
        std::uint32_t node = 0;
        TunnelNo tunnel = 0, last_tunnel = 0;
        std::uint32_t turn = 0;  // of timers
        int tries = 0;
        LineReader reader;
        std::string waiting;
        std::uint32_t said = 0, echoed = 0, heard = 0;  // lines: its own, answered, the host's
        Ticks owed_since = 0, told_unanswered = 0, broke_at = 0;
    };
    enum Kind : std::uint64_t { come, time_up, talk, read_again, impatient, taken_note, leave_now, parted };
    std::uint64_t token(Kind kind, std::uint32_t at) const {
        return std::uint64_t{kind} << 56 | std::uint64_t{members_[at].turn & 0xffffffU} << 32 | at;
    }
    void go(std::uint32_t at, State to);
    void call(std::uint32_t at);
    void ask(std::uint32_t at);
    void read(std::uint32_t at);
    bool line(std::uint32_t at, std::string_view text);
    void say(std::uint32_t at, std::string_view text);
    void hang_up(std::uint32_t at);
    void part(std::uint32_t at);
    void read_parting(End end);
    void pause(std::uint32_t at, Ticks span);
    void try_again(std::uint32_t at, Ticks span);
    void over(std::uint32_t at);
    void broke(std::uint32_t at, bool by_reset);

    TestEnvironment& town_;
    Front& front_;
    std::vector<Machine> machines_;
    ClientBehavior manners_;
    simnet::RandomSource chance_;
    std::vector<Member> members_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    std::unordered_map<std::uint64_t, TunnelNo> parting_;  // ends that have had their last words
    TunnelNo next_tunnel_ = 1;
    Tally tally_;
};

// Clients that no node need serve.
class Rude final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    Rude(TestEnvironment& town, Front& front, Machine machine, simnet::RandomSource chance)
        : town_(town), front_(front), machine_(machine), chance_(chance) {}
    enum class Kind : std::uint8_t {
        garbage,
        endless,
        half,
        twice,
        no_profile,
        bad_wait,
        pings,
        silent,
        again
    };
    static constexpr int kinds = 9;
    void come(int how_many, Kind kind, bool again);
    void go_home();
    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct One {
        End end;
        Kind kind;
        bool sent = false, over = false, again = false;
        std::uint32_t node;
        std::string waiting;
    };
    void call(Kind kind, bool again);
    void end(std::uint32_t at);
    std::string words(Kind kind);
    TestEnvironment& town_;
    Front& front_;
    Machine machine_;
    simnet::RandomSource chance_;
    std::vector<One> ones_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    bool home_ = false;
};

}  // namespace lemonstair::fakes
