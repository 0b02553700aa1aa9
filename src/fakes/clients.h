// Fakes of the clients: each wants one connection, keeps it, loses it and comes again until its time is over.
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
    bool take_answer(std::uint32_t at, std::string_view text);
    void open(std::uint32_t at);
    void take_refusal(std::uint32_t at, Answer answer, std::string_view rest);
    void take_move(std::uint32_t at);
    void take_line(std::uint32_t at, std::string_view text);
    void time_out(std::uint32_t at);
    void send_line(std::uint32_t at);
    void leave(std::uint32_t at);
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

}  // namespace lemonstair::fakes
