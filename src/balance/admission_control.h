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
    /// When what is sent fails everywhere (a store past its rate, queues full), each further setup keeps the
    /// jam up, and clients come again for each failure. Then no more is sent than twice what opens, and a
    /// little to find out; the rest is declined at once. Guards against a storm of setups that feeds itself.
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
