// The interface of the decision module. A front (a node's own loop, a sidecar, the bench's adapter) owns one
// Balancer per node, turns what it sees into the calls below and carries out what the Balancer asks of its
// Host. Times are whole tenths of a millisecond of the front's clock, which only goes forward.
#pragma once
#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "balance/reason.h"

namespace lemonstair {

using Tenths = std::int64_t;

enum class Effect : std::uint8_t { repeatable, referenced, once_only };
enum class Scope : std::uint8_t { all, zone, cell };  // which eps drop the repeats of a referenced tunnel
enum class Life : std::uint8_t { in_service, draining, gone };
// elsewhere: it is kept by another service now, from which nothing was heard yet.
enum class ListKind : std::uint8_t { changes, whole, remembered, failed, elsewhere };
// withdrawn: it was never written, since its time, its endpoint or its client had gone; the endpoint is not
// to blame.
enum class Ending : std::uint8_t {
    ok,
    error,
    full,
    timed_out,
    unreachable,
    broken,
    called_off,
    not_sent,
    withdrawn
};
constexpr std::size_t endings = static_cast<std::size_t>(Ending::withdrawn) + 1;

// Whether an ending proves that the setup never ran.
constexpr bool never_ran(Ending e) {
    return e == Ending::full || e == Ending::unreachable || e == Ending::not_sent || e == Ending::withdrawn;
}

// Whether an ending tells nothing of the endpoint: the trouble was this process's, or the client's.
constexpr bool says_nothing_of_endpoint(Ending e) { return e == Ending::not_sent || e == Ending::withdrawn; }

struct Profile {
    Tenths setup_goal = 0;
    Tenths client_timeout = 0;
    Tenths window = 0;        // how long a referenced tunnel's mark is remembered
    Tenths message_goal = 0;  // 0: none told
    double credit = 1;
    Effect effect = Effect::once_only;
    Scope scope = Scope::cell;
    bool stream = false;
};

struct Rules {
    Tenths ask_within = 0;  // 0: no such limit
    Tenths drain_grace = 0;
    Tenths cold = 0;
    Tenths fall = 0;
    double cold_from = 1;
    double tip_multiple = 1;
};

struct Prices {
    double cross_zone = 0;
    double probe = 0;
    double peer = 0;  // for a full message that one node hears
};

struct Limits {
    Tenths max_come_back = 0;  // 0: clients are given no advice when to come back
    int max_setups = 1;
    bool peers = false;
    bool probing = false;
};

// What a node is handed at its start.
struct Terms {
    std::vector<Profile> profiles;
    Rules rules;
    Prices prices;
    Limits limits;
    Tenths tick = 0;
    std::uint32_t me = 0;
    std::uint32_t nodes = 1;
    std::uint32_t zone = 0;
    std::uint32_t seed = 1;
    bool must_ask = false;  // discovery speaks only when asked
    bool groups = false;
    bool sized = false;         // the listed size compares eps
    bool packets_pass = false;  // tunnels go on through other nodes, mid-flow
    bool hears_delay = false;   // the front tells how long messages take at each ep, answered or not
};

// One load report; what did not come is not a number.
struct Report {
    static constexpr double none = std::numeric_limits<double>::quiet_NaN();
    double inflight = none, queue = none, busy = none, load = none, piled_s = none;
};

// Eps in the list, and those of them that nothing new is placed on now.
struct Census {
    std::uint32_t listed = 0, avoided = 0;
};

// What a Balancer asks of the node that it decides for.
class Host {
  public:
    Host() = default;
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;
    virtual ~Host() = default;
    virtual void set_up(std::uint64_t tun, std::uint32_t ep, Tenths max_wait) = 0;
    virtual void decline(std::uint64_t tun, Tenths come_back_after) = 0;
    virtual void close_with_error(std::uint64_t tun) = 0;
    // Why the tunnel is tried again, or has the final answer that follows: for logs and counters.
    virtual void explain(std::uint64_t, Reason) {}
    virtual void move(std::uint64_t tun) = 0;
    virtual void probe(std::uint32_t ep) = 0;
    virtual void watch_list() = 0;
    virtual void wake(Tenths at, std::uint64_t label) = 0;
    virtual void tell(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void tell_all(std::span<const std::uint8_t> bytes) = 0;
    virtual void log(std::string_view line) = 0;
};

// How a tunnel arrives.
struct Arrival {
    std::string_view key;    // empty: none
    std::string_view group;  // empty: none
    Tenths give_up_at = 0;
    double load = 0;  // expected, as a share of a standard core; 0: not told
    std::uint32_t profile = 0;
    bool mid_flow = false;
    bool again = false;  // its client comes back after a break or a move
};

class Balancer {
  public:
    static std::unique_ptr<Balancer> start(Terms terms, Host& host, Tenths now);
    Balancer() = default;
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;
    virtual ~Balancer() = default;

    // The clock; every other call happens at the time last told.
    virtual void at(Tenths now) = 0;
    // Other terms from now on: as many nodes and profiles as before, and this node's number among them.
    virtual void retold(Terms terms) = 0;
    // The list of eps: begin, an entry a call, end.
    virtual void list_begin(ListKind kind) = 0;
    virtual void listed(std::uint32_t ep, std::uint32_t zone, std::uint32_t cell, Life life, double size,
                        Tenths started) = 0;
    virtual void list_end() = 0;
    // Tunnels.
    virtual void arrive(std::uint64_t tun, const Arrival& arrival) = 0;
    virtual void adopt(std::uint64_t tun, const Arrival& arrival, std::uint32_t ep) = 0;
    virtual void begun(std::uint64_t tun, int setup, std::uint32_t ep, Tenths took) = 0;
    virtual void ended(std::uint64_t tun, int setup, std::uint32_t ep, Ending ending, Tenths took,
                       bool settled) = 0;
    virtual void client_left(std::uint64_t tun) = 0;
    // Whether the attempt that is out for a tunnel may still be written, where that may take until `reserve`
    // from now. Asked before its first byte; and after it, without reserve, to check that no rule was broken.
    virtual Reason may_write(std::uint64_t tun, Tenths reserve) const = 0;
    // The node will not be there for longer: no tunnel that waits now may wait past this.
    virtual void answer_by(Tenths when) = 0;
    virtual void load_changed(std::uint64_t tun, double load) = 0;  // a share of a standard core
    virtual void messages_slow(std::uint64_t tun, std::uint32_t ep, Tenths takes) = 0;
    // No line has come from an ep for this long, though some are owed.
    virtual void unheard(std::uint32_t ep, Tenths span) = 0;
    // The rest.
    virtual void probed(std::uint32_t ep, Ending ending, Tenths took, const Report& report) = 0;
    virtual void told(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void woken(std::uint64_t label) = 0;
    virtual Census census() const = 0;
    // Another process takes the node's place: what it is to remember, as bytes; and what it heard so, before
    // anything else happens. False where the bytes cannot be read: then it has to begin anew.
    virtual void remember(std::string& into) const = 0;
    // clock_shift: what this process's clock is ahead of that of the one that told.
    virtual bool take_over(std::string_view told, Tenths clock_shift) = 0;
    // This process is the node again, after another one was it for a while.
    virtual void again() = 0;
    // An open tunnel goes over too: what is known of it (false where that is nothing), and what was heard.
    virtual bool hand_over(std::uint64_t tun, std::string& into) const = 0;
    virtual bool taken_over(std::uint64_t tun, std::string_view told, Tenths clock_shift) = 0;
};

}  // namespace lemonstair
