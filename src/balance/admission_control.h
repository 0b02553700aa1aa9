/// Admission control: rejects new tunnels and retries while most recent setups have failed.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class NodeContext;
class TunnelTable;

class AdmissionControl {
  public:
    AdmissionControl(NodeContext& node, TunnelTable& tunnel_table);
    AdmissionControl(const AdmissionControl&) = delete;
    AdmissionControl& operator=(const AdmissionControl&) = delete;

    void on_setup_succeeded() { ++recent_opened_; }
    void on_setup_ended() { ++recent_ended_; }
    /// Decays the counts of setups. Called each tick.
    void decay_setups();
    /// Whether another attempt may be sent. When most setups fail everywhere (a shared store past its rate,
    /// full queues), further setups and the retries of failed clients prolong the congestion. Therefore at
    /// most twice as many attempts are admitted as succeed, plus a small allowance by which a recovery is
    /// noticed. Logs each change.
    bool admission_open();
    bool admission_was_open() const { return admission_was_open_; }

  private:
    friend class StateCodec;

    NodeContext& node_;
    TunnelTable& tunnel_table_;
    double recent_opened_ = 0;  // setups that succeeded; decays
    double recent_ended_ = 0;   // setups that succeeded or failed; decays
    bool admission_was_open_ = true;
};

}  // namespace lemonstair
