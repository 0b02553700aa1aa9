#include "balance/admission_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/node_context.h"
#include "balance/tunnel_table.h"

namespace lemonstair {

AdmissionControl::AdmissionControl(NodeContext& node, TunnelTable& tunnel_table)
    : node_(node), tunnel_table_(tunnel_table) {}

bool AdmissionControl::admission_open() {
    // The allowance is smaller in a large fleet, where nodes notice a recovery for each other.
    const double allowance = admission_allowance / std::sqrt(std::max(1.0, node_.node_count() / 3));
    const bool open = recent_ended_ <= allowance ||
                      recent_ended_ + tunnel_table_.pending_attempts() <= 2 * recent_opened_ + allowance;
    if (open != admission_was_open_)
        node_.log_line("admission %s: of the recent setups %.0f have ended, %.0f of them opened; %d pending",
                       open ? "opens, new tunnels are accepted" : "closes, new tunnels are rejected",
                       recent_ended_, recent_opened_, tunnel_table_.pending_attempts());
    return admission_was_open_ = open;
}

void AdmissionControl::decay_setups() {
    recent_opened_ *= admission_decay;
    recent_ended_ *= admission_decay;
}

}  // namespace lemonstair
