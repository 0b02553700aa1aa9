/// Which tunnel has the id of a client's request. An endpoint takes two requests with one id for the same
/// tunnel, so at any moment at most one tunnel of the node has an id, and the id of a request that an
/// endpoint may have executed is not sent to one again. During a hot restart two processes are one node: each
/// has a registry, one of the two decides who may claim an id, and each tells the other what it has claimed
/// and released. No I/O; hot_restart/id_exchange.h carries the reports and requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "request_ids/closed_ids.h"
#include "request_ids/id_change.h"

namespace lemonstair::request_ids {

/// Which of the two processes of a node decides whether a request may claim an id.
enum class Authority : std::uint8_t {
    alone,    // this process; there is no other one, or it does not exchange ids
    decides,  // this process; the other one asks it
    asks      // the other process
};

/// What a request may do that wants to claim an id.
enum class Claim : std::uint8_t { granted, refused, ask_peer };

/// A request of one process to the other one to claim an id.
struct IdRequest {
    std::uint64_t id_hash = 0;
    std::uint64_t serial = 0;  // tells the requests of one process apart
    bool mid_flow = false;
};

/// The answer to a request.
struct IdResult {
    std::uint64_t id_hash = 0;
    std::uint64_t serial = 0;
    bool granted = false;
};

/// Changes to report to the other process.
struct IdReport {
    // The first part of a complete report: an id that no part of it lists is released.
    bool begins_complete = false;
    std::uint64_t left = 0;  // of the complete report's ids, how many follow in later parts
    std::vector<IdChange> changes;
};

class IdRegistry {
  public:
    /// Tunnels are named by their slots.
    using Slot = std::uint32_t;
    using ClientDisconnected = std::function<bool(Slot)>;

    /// `client_disconnected`: whether the client of a tunnel has left, even if the tunnel does not know yet.
    explicit IdRegistry(ClientDisconnected client_disconnected)
        : client_disconnected_(std::move(client_disconnected)) {}
    IdRegistry(const IdRegistry&) = delete;
    IdRegistry& operator=(const IdRegistry&) = delete;

    /// Whether a request may claim the id. It may not if another tunnel has it, or if an earlier request with
    /// it may have been executed. A mid-flow request may claim the id in the latter case, and also that of a
    /// tunnel whose client has disconnected: the client continues an open tunnel through this node.
    Claim check_claim(std::uint64_t id_hash, bool mid_flow) const;
    /// The tunnel has the id from now on.
    void claim(std::uint64_t id_hash, Slot slot);
    /// The tunnel ends. Without effect on an id that another tunnel has claimed since. `may_have_run`: an
    /// endpoint may have executed the request; the id is remembered, so that none executes it again.
    void release(std::uint64_t id_hash, Slot slot, bool may_have_run);

    /// Asks the other process on behalf of a tunnel, after check_claim returned ask_peer. The request ends
    /// with one of the two functions below, or with release() if the tunnel ends first.
    void request(std::uint64_t id_hash, bool mid_flow, Slot slot);
    /// The tunnel that waits for this result; `no_slot` if it has ended.
    Slot requester_of(const IdResult& result) const;
    /// The other process has answered. Returns whether the tunnel that waits for it has the id now.
    bool resolve_request(const IdResult& result);
    /// The other process has gone, so this one decides. Returns whether the tunnel has the id now.
    bool resolve_without_peer(std::uint64_t id_hash, bool mid_flow);
    /// All tunnels that wait for the result of a request, in the order of slots.
    std::vector<Slot> requesters() const;
    static constexpr Slot no_slot = ~Slot{0};

    /// Answers a request of the other process. If granted, that process has the id from now on.
    bool grant_to_peer(const IdRequest& request);
    /// An id that a tunnel of this process has stays with that tunnel, whatever the report says. Returns
    /// false if the report exceeds the number of ids that a process can have.
    bool on_peer_report(const IdReport& report);

    /// Beginning to exchange ids makes a complete report pending.
    void set_authority(Authority authority);
    Authority authority() const { return authority_; }
    /// The other process has gone. Its ids are remembered: endpoints may have executed its requests.
    void forget_peer();

    /// Moves pending changes, at most `max_changes`, into `into`. Returns false if there are none.
    bool next_report(std::size_t max_changes, IdReport& into);
    /// Moves the next request that is not sent yet into `into`. Returns false if there is none.
    bool next_request(IdRequest& into);
    /// Ids that tunnels of the other process have.
    std::size_t peer_ids() const { return peer_ids_.size(); }
    /// Ids of requests that have ended and may have been executed.
    std::size_t closed_ids() const { return closed_ids_.size(); }

  private:
    struct Requester {
        Slot slot;
        std::uint64_t serial;
    };
    Slot owner_of(std::uint64_t id_hash) const;
    bool has_owner(std::uint64_t id_hash) const { return owner_of(id_hash) != no_slot; }
    void on_peer_change(const IdChange& change);
    void finish_peer_report();
    void withdraw_request(std::uint64_t id_hash, Slot slot);
    void report(std::uint64_t id_hash, IdState state);
    void begin_complete_report();

    ClientDisconnected client_disconnected_;
    Authority authority_ = Authority::alone;
    std::unordered_map<std::uint64_t, Slot> owners_;
    ClosedIds closed_ids_;
    std::unordered_set<std::uint64_t> peer_ids_;         // claimed by tunnels of the other process
    std::unordered_set<std::uint64_t> listed_peer_ids_;  // ... by the complete report that is being received
    bool receives_complete_report_ = false;
    std::unordered_map<std::uint64_t, Requester> requesters_;
    std::uint64_t requests_ = 0;  // made so far
    std::deque<IdRequest> unsent_requests_;
    std::deque<IdChange> unreported_;
    bool complete_report_pending_ = false;
    std::size_t complete_report_left_ = 0;  // its ids among `unreported_`
};

}  // namespace lemonstair::request_ids
