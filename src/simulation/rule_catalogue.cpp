#include "simulation/invariants.h"

namespace lemonstair::simulation {

const std::vector<RuleInfo>& rule_catalogue() {
    static const std::vector<RuleInfo> rows{
        {"answer", "each tunnel taken gets one final answer, within the wait that it told and 50 ms"},
        {"twice", "nothing follows a decline, an error or a MOVE; nothing is served that no server gave"},
        {"effect",
         "a once-only tunnel that may have run is neither repeated nor declined; a referenced one only "
         "where and while its mark is known"},
        {"at_once", "no two setups of one tunnel are out together"},
        {"drain", "nothing new goes to a server later than 3 s and 50 ms after the node was told"},
        {"astray",
         "a mid-flow tunnel goes to the server that holds it, where one node has ended, all datagrams came "
         "and the server is sound"},
        {"cold", "no server that has just started is pushed over"},
        {"line", "lines pass unchanged, whole and in order"},
        {"cut_off", "no connection is cut off without MOVE while its server keeps it and its node runs"},
        {"leave", "a node told to leave moves all it carries before it goes, where connections end at it"},
        {"silent", "a connection that brings no line back for 7 s is moved or ended"},
        {"end_late", "what its server has ended is ended within a second"},
        {"bad_client", "a client that no node need serve has an error or an end within 3 s"},
        {"call", "operators have their answer within a second"},
        {"figures", "a node's figures are what clients and servers saw, to 1% or 3 (open ones to 10%)"},
        {"drained", "4 s after the call a drained node says no and holds nobody, but where packets pass"},
        {"upgrade", "a new process says yes within 6 s"},
        {"descriptors", "a node holds no more descriptors than it was granted"},
        {"left_over", "a node that carries nothing holds no tunnel, buffer, connection or heap of timers"},
        {"spin", "no pass of the loop is called again and again for something that it does nothing about"},
        {"crash", "no node ends unasked"},
        {"self_check", "no node finds at run time that it did what its own policy forbids"},
        {"late_attempt", "no attempt begins later than 0.1 s after its client has left"},
        {"slow_start",
         "a cold server is sent no more than N and 2 root of N + 2 (N under 30: N + 3 root of N + 3)"},
        {"budget", "all nodes together send a cold server no more of its budget than the scenario's bound"},
    };
    return rows;
}

}  // namespace lemonstair::simulation
