/// Admission control: refuses new attempts while most recent ones failed.
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
    void decay_setups();
    /// When most setups fail everywhere (a store past its rate, full queues), further setups and the
    /// retries of failed clients keep the congestion up. Then at most twice as many attempts are admitted
    /// as succeed, and a small allowance to notice recovery; the rest is rejected at once. Logs when
    /// admission opens or closes.
    bool admission_open();
    bool admission_was_open() const { return admission_was_open_; }

  private:
    friend class StateCodec;

    NodeContext& node_;
    TunnelTable& tunnel_table_;
    double recent_opened_ = 0;  // setups
    double recent_ended_ = 0;
    bool admission_was_open_ = true;
};

}  // namespace lemonstair
