#include "balance/state_codec.h"

#include <cmath>
#include <cstdlib>

#include "balance/admission_control.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_budget.h"
#include "balance/load_estimator.h"
#include "balance/load_reporter.h"
#include "balance/node_context.h"
#include "balance/outlier_detector.h"
#include "balance/peer_monitor.h"
#include "balance/peer_table.h"
#include "balance/rebalancer.h"
#include "balance/record_table.h"
#include "balance/tunnel_turnover.h"
#include "serialization/binary.h"

namespace lemonstair {

namespace {

constexpr std::uint32_t max_count = 1U << 20;  // of any list: a larger count is malformed

// The count of what follows, at most `max_count`.
std::uint32_t count(serialization::Reader& source) {
    const auto n = source.next<std::uint32_t>();
    if (n > max_count) source.fail();
    return n <= max_count ? n : 0;
}

template <class Io, class... Values>
void transfer(Io& io, Values&... values) {
    (io.value(values), ...);
}

template <class Io, class AnyEndpoint>
void transfer_endpoint(Io& io, AnyEndpoint& endpoint) {
    transfer(io, endpoint.failure_likelihood.log_likelihood_ratio, endpoint.failure_likelihood.recent.tried,
             endpoint.failure_likelihood.recent.failed, endpoint.learned_capacity,
             endpoint.last_reported_load, endpoint.published_load, endpoint.pending_load,
             endpoint.backlog_estimate, endpoint.utilization, endpoint.published_utilization);
    transfer(io, endpoint.drain_notified_at, endpoint.started_at, endpoint.listed_start,
             endpoint.health_checked_at, endpoint.ejected_at, endpoint.probation_at,
             endpoint.health_check_passed_at, endpoint.succeeded_at, endpoint.slow_message_at,
             endpoint.slow_messages_since, endpoint.slow_message_delay, endpoint.migrated_at,
             endpoint.utilization_at, endpoint.published_at, endpoint.failure_likelihood.counted_at,
             endpoint.affinity_target_at, endpoint.gossip_ejection_until);
    transfer(io, endpoint.failed_health_checks, endpoint.ejected, endpoint.unresponsive,
             endpoint.contact_lost, endpoint.failure_published);
}

// Converts a time to this process's clock; 0 and far values (never, long ago) are markers and stay.
void shift(Ticks clock_shift, Ticks& time) {
    if (time != 0 && std::abs(time) < never / 4) time += clock_shift;
}
template <class... Times>
void shift_all(Ticks clock_shift, Times&... times) {
    (shift(clock_shift, times), ...);
}

void shift_times(Endpoint& endpoint, Ticks by) {
    shift_all(by, endpoint.drain_notified_at, endpoint.started_at, endpoint.listed_start,
              endpoint.health_checked_at, endpoint.ejected_at, endpoint.probation_at,
              endpoint.health_check_passed_at, endpoint.succeeded_at, endpoint.slow_message_at,
              endpoint.slow_messages_since, endpoint.migrated_at, endpoint.utilization_at,
              endpoint.published_at, endpoint.failure_likelihood.counted_at, endpoint.affinity_target_at,
              endpoint.gossip_ejection_until);
}

}  // namespace

StateCodec::StateCodec(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                       RecordTable& records, TunnelTurnover& turnover, GossipBudget& gossip_budget,
                       LoadEstimator& load, AdmissionControl& admission, OutlierDetector& outliers,
                       LoadReporter& reporter, PeerMonitor& peer_monitor, Rebalancer& rebalancer)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      records_(records),
      turnover_(turnover),
      gossip_budget_(gossip_budget),
      load_(load),
      admission_(admission),
      outliers_(outliers),
      reporter_(reporter),
      peer_monitor_(peer_monitor),
      rebalancer_(rebalancer) {}

// The order and the width of each field are part of the format.
template <class Io>
void StateCodec::transfer_figures(Io& io) const {
    transfer(io, node_.started_at_, reporter_.last_published_at_, peer_monitor_.hello_sent_at_,
             gossip_budget_.load_totals_interval_, gossip_budget_.report_interval_);
    transfer(io, admission_.recent_opened_, admission_.recent_ended_, outliers_.recent_outcomes_.tried,
             outliers_.recent_outcomes_.failed, gossip_budget_.placement_rate_, rebalancer_.migration_tokens_,
             load_.capacity_per_size_, load_.fleet_utilization_, turnover_.tunnel_end_rate_,
             turnover_.total_open_seconds_, turnover_.ended_tunnels_, load_.overall_load_.value,
             load_.overall_load_.count);
    transfer(io, peer_monitor_.hello_sent_, admission_.admission_was_open_, load_.load_totals_known_);
}

void StateCodec::write(std::string& into) const {
    serialization::Writer out(into);
    transfer_figures(out);
    out.value(static_cast<std::uint32_t>(load_.traffic_class_load_.size()));
    for (const RunningMean& mean : load_.traffic_class_load_) transfer(out, mean.value, mean.count);
    out.value(static_cast<std::uint32_t>(peer_table_.peers_.size()));
    for (const Peer& peer : peer_table_.peers_) transfer(out, peer.heard_at, peer.load_totals_at, peer.alive);
    const auto& endpoints = endpoint_table_.endpoints_;
    out.value(static_cast<std::uint32_t>(endpoints.size()));
    for (const Endpoint& endpoint : endpoints) {
        out.value(endpoint.id);
        transfer_endpoint(out, endpoint);
        for (const double load : endpoint.load_by_node) out.value(load);
    }
    out.value(static_cast<std::uint32_t>(load_.recent_placements_.size()));
    for (const RecentPlacement& placement : load_.recent_placements_)
        transfer(out, endpoints[placement.endpoint_index].id, placement.placed_at, placement.load);
    out.value(static_cast<std::uint32_t>(records_.size()));
    records_.for_each([&](const Record& record) {
        transfer(out, record.key, record.stamp, record.heard_at, record.endpoint_id, record.group,
                 record.load, record.sampled);
    });
    records_.groups().each_affinity_target(
        [&](std::uint32_t group, std::uint32_t endpoint_id, std::int64_t since) {
            out.value(true);
            transfer(out, group, endpoint_id, since);
        });
    out.value(false);
}

bool StateCodec::read(std::string_view bytes, Ticks clock_shift) {
    serialization::Reader in(bytes);
    transfer_figures(in);
    shift_all(clock_shift, node_.started_at_, reporter_.last_published_at_, peer_monitor_.hello_sent_at_);
    if (count(in) != load_.traffic_class_load_.size()) in.fail();
    for (RunningMean& mean : load_.traffic_class_load_) transfer(in, mean.value, mean.count);
    if (count(in) != peer_table_.peers_.size()) in.fail();
    for (Peer& peer : peer_table_.peers_) {
        transfer(in, peer.heard_at, peer.load_totals_at, peer.alive);
        shift_all(clock_shift, peer.heard_at, peer.load_totals_at);
    }
    read_endpoints(in, clock_shift);
    read_placements(in, clock_shift);
    read_records(in, clock_shift);
    peer_table_.mark_ring_changed();
    return in.good() && in.at_end();
}

void StateCodec::read_endpoints(serialization::Reader& in, Ticks clock_shift) {
    for (std::uint32_t left = count(in); left > 0 && in.good(); --left) {
        Endpoint* known = endpoint_table_.find_endpoint(in.next<std::uint32_t>());
        Endpoint unknown;  // read, and dropped
        Endpoint& endpoint = known != nullptr ? *known : unknown;
        transfer_endpoint(in, endpoint);
        shift_times(endpoint, clock_shift);
        endpoint.load_by_node.assign(peer_table_.peers_.size(), 0);
        endpoint.load_on_other_nodes = 0;
        for (double& load : endpoint.load_by_node) {
            in.value(load);
            endpoint.load_on_other_nodes += load;
        }
    }
}

void StateCodec::read_placements(serialization::Reader& in, Ticks clock_shift) {
    load_.recent_placements_.clear();
    for (std::uint32_t left = count(in); left > 0 && in.good(); --left) {
        RecentPlacement placement;
        placement.endpoint_index = endpoint_table_.endpoint_by_id_.find(in.next<std::uint32_t>());
        transfer(in, placement.placed_at, placement.load);
        shift(clock_shift, placement.placed_at);
        if (placement.endpoint_index != none) load_.recent_placements_.push_back(placement);
    }
}

void StateCodec::read_records(serialization::Reader& in, Ticks clock_shift) {
    for (std::uint32_t left = count(in); left > 0 && in.good(); --left) {
        Record record;
        transfer(in, record.key, record.stamp, record.heard_at, record.endpoint_id, record.group, record.load,
                 record.sampled);
        shift(clock_shift, record.heard_at);
        if (in.good()) records_.put(record);
    }
    while (in.next<bool>()) {
        std::uint32_t group = 0, endpoint_id = 0;
        std::int64_t since = 0;
        transfer(in, group, endpoint_id, since);
        shift(clock_shift, since);
        if (in.good() && group != 0) records_.groups().set_affinity_target(group, endpoint_id, since);
    }
}

void StateCodec::write_tunnel(std::string& into, const TrackedTunnel& tunnel, std::uint32_t endpoint_id) {
    serialization::Writer out(into);
    transfer(out, endpoint_id, tunnel.key, tunnel.deadline, tunnel.arrived_at, tunnel.attempt_started_at,
             tunnel.stamp, tunnel.refresh_records_at, tunnel.load, tunnel.traffic_class, tunnel.group,
             tunnel.has_key, tunnel.mid_flow);
}

std::uint32_t StateCodec::read_tunnel(std::string_view bytes, TrackedTunnel& tunnel, Ticks clock_shift) {
    serialization::Reader in(bytes);
    std::uint32_t endpoint_id = none;
    transfer(in, endpoint_id, tunnel.key, tunnel.deadline, tunnel.arrived_at, tunnel.attempt_started_at,
             tunnel.stamp, tunnel.refresh_records_at, tunnel.load, tunnel.traffic_class, tunnel.group,
             tunnel.has_key, tunnel.mid_flow);
    shift_all(clock_shift, tunnel.deadline, tunnel.arrived_at, tunnel.attempt_started_at,
              tunnel.refresh_records_at);
    return in.good() && in.at_end() ? endpoint_id : none;
}

}  // namespace lemonstair
