// Judges the rules (invariants) of a run from what the fakes see on the wire. What the nodes report about
// themselves is not used, except by the rules that check it (figures, self_check). Times are in tenths of a
// ms.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "fakes/environment.h"
#include "simulation/ledger.h"
#include "simulation/scenario.h"

namespace lemonstair::simulation {

// One violation of a rule.
struct Violation {
    Ticks at = 0;      // since the start of the scenario
    std::string rule;  // its name in the rule catalogue
    std::string what;
};

// A rule: the name that runs report, and what it requires.
struct RuleInfo {
    const char *name, *description;
};
const std::vector<RuleInfo>& rule_catalogue();

// Judges one run. Its owner reports every fault to it, so that what a fault explains is no violation.
class Invariants final : public fakes::ExecutionLog {
  public:
    Invariants(const Scenario& scenario, simnet::EventQueue& events, simnet::Streams& network);
    // To be called before the first event.
    void begin(const fakes::TestEnvironment& environment) { environment_ = &environment; }

    // ---- faults, and states of nodes and servers
    enum class NodeEnd : std::uint8_t { killed, left, killed_late, crashed };
    void node_started(std::uint32_t node);
    void node_shutdown_requested(std::uint32_t node);
    void node_ended(std::uint32_t node, NodeEnd how);
    void node_stalled(std::uint32_t node, Ticks until);
    // Operators have begun to drain the node, or ended the drain.
    void node_drained(std::uint32_t node, bool on) { nodes_[node].drained_since = on ? events_.now() : 0; }
    // Rule drained: reports tunnels that a draining node should have moved by now.
    void judge_drained(std::uint32_t node);
    // Rule figures: `body` is the answer to `GET /stats` of a process that was started at `since`. `mixed`:
    // another process of the node has served some of its clients since then.
    void judge_metrics(std::uint32_t node, const std::string& body, Ticks since, bool mixed);
    // Whether the node ran, was not stalled and was reachable during the whole period.
    bool was_undisturbed(std::uint32_t node, Ticks from, Ticks until) const;
    void machine_cut(simnet::Machine machine, bool on);
    // Discovery answers late, or no longer does.
    void discovery_slow(bool on) { discovery_reachable(!on); }
    // Another discovery has taken its place, and the nodes reload their configurations.
    void discovery_moved();
    // The server's process has started and is in slow start from now on.
    void server_started(std::uint32_t server) { servers_[server].started_at = events_.now(); }
    void server_silent(std::uint32_t server, bool on) {
        servers_[server].silent = on;
        if (!on) servers_[server].silent_until = events_.now();
    }
    // Records a violation. Only the first 200 are kept.
    void report(std::string rule, std::string what);

    const std::vector<Violation>& broken() const { return broken_; }
    // Counts of events, regardless of violations: requests that reached a node (taken) and the answers that
    // they got, setups that servers received, mid-flow requests (resumed), mid-flow setups at a server that
    // does not hold the tunnel (not_held), and connections that were closed or reset without MOVE (cut).
    struct Tally {
        std::uint64_t taken = 0, opened = 0, declined = 0, failed = 0, setups = 0, setups_failed = 0,
                      resumed = 0, not_held = 0, cut = 0,
                      orphaned = 0,  // tunnels still without an answer when their node ended
            raced = 0;  // setups without an answer when their node was notified that the server is inactive
    };
    const Tally& tally() const { return tally_; }
    // Whether any server is idle; called when a tunnel is declined.
    using AnyIdle = std::function<bool()>;
    void set_idle_query(AnyIdle query) { any_idle_ = std::move(query); }
    // How many setups all nodes together may send a server within a window; 0 if there is no such bound.
    using Budget = std::function<double(std::uint32_t server)>;
    void set_budget_query(Budget query) { budget_ = std::move(query); }
    Ledger& ledger() { return ledger_; }
    // Judges the rules budget and slow_start, at the end of the run.
    void judge_bounds();

    // ---- fakes::ExecutionLog
    void tunnel_requested(const fakes::TunnelRequest& what) override;
    void request_delivered(fakes::TunnelId tunnel) override;
    void request_answered(fakes::TunnelId tunnel, fakes::Answer answer, Ticks written_at) override;
    void data_after_final(fakes::TunnelId tunnel, std::string_view text) override;
    void client_left(fakes::TunnelId tunnel) override;
    void client_timed_out(fakes::TunnelId tunnel) override;
    void connection_cut(fakes::TunnelId tunnel, bool by_reset, Ticks written) override;
    void connection_silent(fakes::TunnelId tunnel, Ticks span) override;
    void misbehaving_client_unanswered(std::uint32_t node, std::string_view how) override;
    void setup_received(fakes::TunnelId tunnel, std::uint32_t server, simnet::End end, Ticks first,
                        bool mid_flow) override;
    void setup_answered(fakes::TunnelId tunnel, std::uint32_t server, fakes::Answer answer) override;
    void mid_flow_unknown(fakes::TunnelId tunnel, std::uint32_t server) override;
    void server_ended(fakes::TunnelId tunnel, std::uint32_t server) override;
    void server_overloaded(std::uint32_t server, double demand, double overload_limit) override;
    void invalid_line(std::uint32_t server, std::string_view line) override;
    void endpoint_state_published(std::uint32_t server, bool active) override;
    void discovery_reachable(bool reachable) override;
    void endpoint_state_delivered(std::uint32_t node, std::uint32_t server, bool active) override;
    void line_corrupted(fakes::TunnelId tunnel, std::string_view what, std::string_view line) override;

  private:
    enum class State : std::uint8_t { unknown, requested, delivered, open, over };
    // A setup that a server received.
    struct Setup {
        std::uint32_t server;
        simnet::End end;  // the server's end of the connection
        Ticks sent;       // when its first byte was sent; a hanging server may read it much later
        fakes::Answer answer = fakes::Answer::none;
    };
    // What is known of a tunnel, through all its attempts and setups.
    struct TunnelRecord {
        State state = State::unknown;
        fakes::TunnelRequest request;
        Ticks requested_at = 0, delivered_at = 0, opened_at = 0, server_ended_at = 0, left_at = 0;
        std::uint32_t server = 0;
        std::size_t attempt = 0;  // index of the last one in attempts_
        Ticks changed_at = 0;
        std::vector<Setup> setups;
    };
    // A client's first line at a node. A tunnel can have several where a connection survives its node.
    struct Attempt {
        std::uint32_t node = 0, profile = 0;
        Ticks requested_at = 0, answered_at = 0;
        fakes::Answer answer = fakes::Answer::none;
    };
    // A node's process, or its processes where an upgrade passes the clients on.
    struct Incarnation {
        Ticks from, until = 0;  // 0: still running
        NodeEnd how = NodeEnd::killed;
        Ticks leaving_since = 0;
    };
    // A node: its processes, what disturbed it, and what discovery told it.
    struct Node {
        std::vector<Incarnation> incarnations;
        std::vector<std::pair<Ticks, Ticks>> stalls;
        Ticks drained_since = 0;         // 0: it is not drained
        std::vector<Ticks> notified_at;  // by server: when the node last got its state; 0: not yet
        std::vector<Ticks>
            inactive_since;  // by server: since when the node knows it to be inactive; 0: active
    };
    // A server: its last start, since when discovery lists it as inactive (0: active), and whether it hangs
    // or when it last ceased to.
    struct Server {
        Ticks started_at = 0, unlisted_since = 0, silent_until = 0;
        bool silent = false;
    };
    TunnelRecord& record_of(fakes::TunnelId tunnel);
    void set_state(TunnelRecord& record, State state) {
        record.state = state;
        record.changed_at = events_.now();
    }
    bool was_reachable(simnet::Machine machine, Ticks from, Ticks until) const;
    const Incarnation* incarnation_at(std::uint32_t node, Ticks when) const;
    simnet::Machine machine_of_server(std::uint32_t server) const { return scenario_.nodes + server; }
    const fakes::Profile& profile(const TunnelRecord& record) const {
        return environment_->profiles[record.request.profile];
    }
    void judge_late_attempt(const TunnelRecord& record, std::uint32_t server, simnet::Machine node,
                            Ticks sent);
    void judge_drain(const TunnelRecord& record, std::uint32_t server, simnet::Machine node, Ticks sent);
    // Since when a node counts as told of the server's end, whether or not it was; 0: it does not.
    Ticks counts_as_told_since(std::uint32_t server, simnet::Machine node) const;
    void judge_effect(const TunnelRecord& record, std::uint32_t server, Ticks sent);
    // Whether gossip between nodes can be relied on in this scenario.
    bool gossip_is_reliable() const;
    std::string named(fakes::TunnelId tunnel) const;

    const Scenario& scenario_;
    simnet::EventQueue& events_;
    simnet::Streams& network_;
    const fakes::TestEnvironment* environment_ = nullptr;
    std::deque<TunnelRecord> tunnels_by_id_;
    std::vector<Attempt> attempts_;
    std::vector<std::pair<std::uint32_t, Ticks>> setups_received_;  // sending node, time sent
    std::vector<Node> nodes_;
    std::vector<Server> servers_;
    struct Discovery {
        int outages = 0;              // that last
        Ticks unreachable_since = 0;  // the last time
        // When a change that discovery has already counts as told at the earliest, unless an outage lasts.
        Ticks told_from = 0;
    };
    Discovery discovery_;
    std::vector<std::vector<std::pair<Ticks, Ticks>>> cuts_;  // by machine; an end of 0: not over yet
    std::vector<Violation> broken_;
    Tally tally_;
    Ledger ledger_;
    AnyIdle any_idle_;
    Budget budget_;
};

}  // namespace lemonstair::simulation
