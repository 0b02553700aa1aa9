#include "simulation/invariants.h"

namespace lemonstair::simulation {

const std::vector<RuleInfo>& rule_catalogue() {
    static const std::vector<RuleInfo> rows{
        {"answer", "each accepted tunnel gets one final answer, no later than 50 ms after its client's wait"},
        {"twice",
         "nothing follows a decline, an error or MOVE, and no tunnel is opened that no server opened"},
        {"effect",
         "a non-idempotent tunnel that may have run is neither repeated nor declined; one with an "
         "idempotency key only within the scope and window of that key"},
        {"at_once", "no two setups of one tunnel are pending at the same time"},
        {"drain",
         "no new tunnel goes to a draining server later than the drain grace and 50 ms after the node was "
         "notified, nor after discovery had it and could be reached (6 s later where it is polled)"},
        {"astray",
         "a mid-flow tunnel goes to the server that holds it, if one node has ended, no datagrams were lost "
         "and the server has no fault"},
        {"cold", "no server in slow start is loaded beyond its overload limit"},
        {"line", "lines are forwarded unchanged, complete and in order"},
        {"cut_off", "no connection is cut off without MOVE while its server holds it and its node runs"},
        {"leave",
         "a node that shuts down moves all its tunnels before it exits, where it proxies connections"},
        {"silent", "a connection without a line from its server for 7 s is moved or ended"},
        {"end_late", "a tunnel that its server has ended is ended at the client within a second"},
        {"bad_client", "a misbehaving client gets an error or an end of the connection within 3 s"},
        {"call", "operators get an answer within a second"},
        {"figures",
         "a node's metrics match what clients and servers saw, within 1% or 3 (open requests within 10%)"},
        {"drained",
         "4 s after the drain call a node is unhealthy and, where it proxies connections, holds no client"},
        {"upgrade", "the new process of an upgrade is healthy within 6 s"},
        {"descriptors", "a node holds no more descriptors than its limit"},
        {"left_over", "a node without clients holds no tunnels, buffers or connections, and few timers"},
        {"spin", "the event loop does not run again and again without progress"},
        {"crash", "no node's process ends unless it was told to"},
        {"self_check", "no node detects a violation of its own policy at run time"},
        {"late_attempt", "no attempt begins later than 0.1 s after the client has left"},
        {"slow_start",
         "a server in slow start gets at most N + 2 sqrt(N) + 2 setups, N its budget (below 30: "
         "N + 3 sqrt(N) + 3)"},
        {"budget",
         "all nodes together send a server in slow start no more than the scenario's share of its budget"},
    };
    return rows;
}

}  // namespace lemonstair::simulation
