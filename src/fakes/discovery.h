// Fake of the platform's discovery service: endpoint lists and watches over HTTP/1.1. It can be made slow,
// unreachable or silent, to cut off its answers, and to send invalid lists.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/environment.h"
#include "fakes/server.h"
#include "simnet/random_source.h"

namespace lemonstair::fakes {

// A server's entry in the endpoint list.
struct DiscoveryEntry {
    std::string id, zone;
    std::uint32_t cell = 0;
    net::Address at;
    double size = 1;
    std::int64_t up_since_ms = 0;
    enum class Phase : std::uint8_t { active, terminating, terminated } phase = Phase::active;
};

// The entry as JSON, for a node that reaches the server at this address.
std::string entry_json(const DiscoveryEntry& entry, const net::Address& at);

// One instance of the service. Its lists and changes reach the nodes over the network.
class FakeDiscovery final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    FakeDiscovery(TestEnvironment& environment, Machine machine, std::uint16_t port,
                  std::uint64_t first_revision, simnet::RandomSource random)
        : environment_(environment),
          machine_(machine),
          port_(port),
          revision_(first_revision),
          random_(random) {}
    // Starts the service with this list; an entry's index is the number of its server.
    void open(std::vector<DiscoveryEntry> list);
    net::Address address() const { return environment_.network.address_of(machine_, port_); }
    std::uint64_t revision() const { return revision_; }
    // Replaces the entry of a server `after` from now, and sends the change to all watches.
    void change(std::uint32_t server, const DiscoveryEntry& entry, Ticks after);

    // ---- faults
    // on: new connections are refused, open ones are reset.
    void set_down(bool on);
    // on: connections stay open and nothing is sent; off: the connections that are open then are reset.
    void set_silent(bool on);
    // on: connections stay open and nothing is sent; off: only connections made from then on are served,
    // those of before stay open and silent for good.
    void set_mute(bool on);
    // How answers are cut off: not at all, or behind half of their first line, with a reset or with silence.
    enum class Cut : std::uint8_t { none, by_reset, by_silence };
    // Resets the open connections; until it is called with `none`, answers are cut off.
    void cut_answers(Cut how);
    // on: the fixture has cut the network of the service's machine.
    void set_unreachable(bool on);
    // How long after a request its answer is sent.
    void answer_after(Ticks span) { answer_after_ = span; }
    // The next change is sent in an invalid way. 1: truncated JSON; 2: an entry without an id; 3: an empty
    // list of an older revision before the change.
    void corrupt_next(int kind) { corrupt_ = kind; }
    // The service is replaced by a new instance that counts revisions from here. Open connections are closed.
    void restart(std::uint64_t revision);
    // Refuses new connections, and closes the open ones `after` from now.
    void retire(Ticks after);

    void on_stream_event(End end) override;
    void on_connection(const net::Address& at) override;
    void on_event(std::uint64_t token) override;

  private:
    struct Request {
        End end;
        LineReader reader;
        std::uint64_t known_revision = 0;
        // watches: the whole request was received; answered: changes are sent from now on.
        // forgotten: nothing is sent any more, though the connection stays open.
        bool request_line_received = false, watches = false, answered = false, closed = false,
             forgotten = false;
        Machine node = 0;
    };
    enum Kind : std::uint64_t { answer_request, keepalive, change_due, delivered, retire_due };
    std::uint64_t token(Kind kind, std::uint64_t index) const { return std::uint64_t{kind} << 56 | index; }
    std::string list_json(Machine node, bool whole, const std::vector<std::uint32_t>& servers) const;
    void write_chunk(std::uint32_t index, std::string_view line);
    void notify(std::uint32_t index, const std::vector<std::uint32_t>& servers);
    void close(std::uint32_t index);
    void reset_all();
    void answer(std::uint32_t index);
    void cut_off_answer(std::uint32_t index, const std::string& line);
    bool may_send_to(const Request& request) const {
        return !request.closed && !request.forgotten && !silent_ && !mute_;
    }
    void report_reachability();

    TestEnvironment& environment_;
    Machine machine_;
    std::uint16_t port_;
    std::uint64_t revision_;
    simnet::RandomSource random_;
    std::vector<DiscoveryEntry> list_;
    std::vector<std::uint64_t> changed_;  // by server: the revision of its last change
    std::vector<Request> requests_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    struct Change {
        std::uint32_t server;
        DiscoveryEntry entry;
    };
    std::vector<Change> pending_changes_;
    struct Notification {
        Machine node;
        std::vector<std::pair<std::uint32_t, bool>> servers;  // the second: whether the server is in service
    };
    std::vector<Notification> notifications_;  // sent to nodes, perhaps not delivered yet
    Ticks answer_after_ = 5;
    int corrupt_ = 0;
    Cut cut_ = Cut::none;
    bool down_ = false, silent_ = false, mute_ = false, unreachable_ = false, sends_keepalives_ = false;
    bool reported_reachable_ = true;
};

}  // namespace lemonstair::fakes
