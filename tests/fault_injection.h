// Fault injection for the simulation's tests: wraps a node's net::System or Balancer so that it misbehaves in
// one way that the invariants must detect. Linked into the tests only.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hot_restart/packets.h"
#include "peer/codec.h"
#include "simulation/simulation.h"

namespace fault_injection {

using namespace lemonstair;

// What a node does wrong.
enum class Fault {
    answer_dropped,
    second_attempt,
    draining_endpoint_used,
    slow_start_budget_exceeded,
    answer_after_final,
    connection_leaked,
    stale_record_used,
    line_reordered,
    move_omitted,
    descriptors_leaked,
    // in operated scenarios only
    metrics_wrong,
    ready_while_draining,
    transferred_tunnel_lost,
    ready_packet_lost,
    id_reports_empty,
    admin_request_unanswered
};

// A net::System that forwards every call to the real one, except where the fault takes effect.
class FaultySystem final : public net::System {
  public:
    FaultySystem(net::System& real, Fault fault) : real_(real), fault_(fault) {}
    Ticks now() override { return real_.now(); }
    Ticks clock_base() override { return real_.clock_base(); }
    std::uint64_t processor_us() override { return real_.processor_us(); }
    int poll(std::span<pollfd> set, Ticks longest) override {
        for (auto& [fd, line] : second_lines_)
            if (!line.empty()) line.erase(0, real_.write_some(fd, line).bytes);
        return real_.poll(set, longest);
    }
    void close(int fd) override {
        final_answers_.erase(fd);
        held_lines_.erase(fd);
        const bool client = clients_.erase(fd) > 0;
        if (fault_ == Fault::connection_leaked && client && ++count_ % 5 == 0) return;
        if (fault_ == Fault::descriptors_leaked && !client) return;
        real_.close(fd);
    }
    std::size_t descriptor_limit(std::size_t asked) override { return real_.descriptor_limit(asked); }
    net::Fd listen_on(const net::Address& at) override { return owned(real_.listen_on(at)); }
    void defer_accept(int listener) override { real_.defer_accept(listener); }
    net::Fd bind_datagrams(const net::Address& at) override { return owned(real_.bind_datagrams(at)); }
    net::Fd connect_to(const net::Address& to) override {
        net::Fd fd = owned(real_.connect_to(to));
        if (fd.open()) connect_addresses_[fd.get()] = to;
        return fd;
    }
    net::Fd accept(int listener) override {
        net::Fd fd = owned(real_.accept(listener));
        if (fd.open()) clients_[fd.get()] = true;
        return fd;
    }
    net::Fd open_spare() override { return owned(real_.open_spare()); }
    int connect_error(int fd) override { return real_.connect_error(fd); }
    bool peer_closed(int fd) override { return real_.peer_closed(fd); }
    net::IoResult read_some(int fd, std::span<char> into) override { return real_.read_some(fd, into); }
    net::IoResult peek(int fd, std::span<char> into) override { return real_.peek(fd, into); }
    net::IoResult discard_some(int fd) override { return real_.discard_some(fd); }
    net::IoResult write_some(int fd, std::string_view text) override {
        if (fault_ == Fault::metrics_wrong && text.find("\"operations\"") != std::string_view::npos) {
            std::string falsified(text);  // as if no tunnel had ever been opened
            for (auto at = falsified.find("fulfilled"); at != std::string::npos;
                 at = falsified.find("fulfilled", at + 1))
                for (auto digit = at + 11; falsified[digit] >= '0' && falsified[digit] <= '9'; ++digit)
                    falsified[digit] = '0';
            return real_.write_some(fd, falsified);
        }
        if (fault_ == Fault::admin_request_unanswered && text.substr(0, 5) == "HTTP/" && ++count_ % 5 == 0)
            return {.bytes = text.size()};
        if (fault_ == Fault::ready_while_draining && text.substr(0, 12) == "HTTP/1.1 503")
            return real_.write_some(fd, std::string("HTTP/1.1 200").append(text.substr(12)));
        const bool client = clients_.count(fd) > 0;
        const bool last = text.substr(0, 4) == "BUSY" || text.substr(0, 3) == "ERR";
        if (client && last) final_answers_[fd] = true;
        if (fault_ == Fault::answer_dropped && client && last) return {.bytes = text.size()};
        if (fault_ == Fault::move_omitted && client && text == "MOVE\r\n") return {.bytes = text.size()};
        if (fault_ == Fault::second_attempt && !client && text.substr(0, 5) == "OPEN " && ++count_ % 3 == 0) {
            net::Fd second = real_.connect_to(connect_addresses_[fd]);
            if (second.open()) second_lines_[second.release()] = std::string(text);
        }
        // Holds back one complete line until the next one has been written.
        if (fault_ == Fault::line_reordered && client && text.substr(0, 2) == "e " && text.back() == '\n') {
            std::string& held = held_lines_[fd];
            if (held.empty() && ++count_ % 10 == 0) return held = text, net::IoResult{.bytes = text.size()};
            if (!held.empty()) {
                const auto sent = real_.write_some(fd, text);
                if (sent.bytes == text.size()) real_.write_some(fd, std::exchange(held, {}));
                return sent;
            }
        }
        return real_.write_some(fd, text);
    }
    void shutdown_write(int fd) override {
        if (fault_ == Fault::answer_after_final && final_answers_.count(fd) > 0)
            real_.write_some(fd, "BUSY\r\n");
        real_.shutdown_write(fd);
    }
    void reset_on_close(int fd) override { real_.reset_on_close(fd); }
    std::ptrdiff_t send_to(int fd, const net::Address& to, std::span<const std::uint8_t> bytes) override {
        return real_.send_to(fd, to, bytes);
    }
    std::ptrdiff_t receive(int fd, net::Address& from, std::span<std::uint8_t> into) override {
        return real_.receive(fd, from, into);
    }
    net::Fd inherited_listener(int fd) override { return owned(real_.inherited_listener(fd)); }
    net::Fd listen_local(const std::string& name) override { return owned(real_.listen_local(name)); }
    net::Fd connect_local(const std::string& name) override { return owned(real_.connect_local(name)); }
    net::Fd accept_local(int listener) override { return owned(real_.accept_local(listener)); }
    net::IoResult send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) override {
        constexpr std::size_t kind_at = 5;  // after the magic bytes and the version
        const bool ready =
            bytes.size() > kind_at && bytes[kind_at] == static_cast<char>(hot_restart::PacketKind::ready);
        const bool lost =
            (fault_ == Fault::transferred_tunnel_lost && !descriptors.empty() && ++count_ % 3 == 0) ||
            (fault_ == Fault::ready_packet_lost && ready);
        if (lost) return {.bytes = bytes.size()};
        const bool reports_ids =
            bytes.size() > kind_at && bytes[kind_at] == static_cast<char>(hot_restart::PacketKind::ids);
        if (fault_ == Fault::id_reports_empty && reports_ids) {
            const std::string empty =
                hot_restart::encode({.kind = hot_restart::PacketKind::ids, .flag = true});
            real_.send_packet(fd, empty, {});
            return {.bytes = bytes.size()};
        }
        return real_.send_packet(fd, bytes, descriptors);
    }
    net::IoResult receive_packet(int fd, std::span<char> into, std::vector<net::Fd>& descriptors) override {
        const std::size_t before = descriptors.size();
        const auto got = real_.receive_packet(fd, into, descriptors);
        for (std::size_t i = before; i < descriptors.size(); ++i)
            descriptors[i] = net::Fd(descriptors[i].release(), this);
        return got;
    }
    net::Fd signals() override { return owned(real_.signals()); }
    int next_signal(int fd) override { return real_.next_signal(fd); }
    const char* read_file(const std::string& path, std::size_t longest, std::string& into) override {
        return real_.read_file(path, longest, into);
    }

  private:
    net::Fd owned(net::Fd fd) { return fd.open() ? net::Fd(fd.release(), this) : net::Fd(); }
    net::System& real_;
    Fault fault_;
    std::map<int, bool> clients_, final_answers_;
    std::map<int, net::Address> connect_addresses_;
    std::map<int, std::string> second_lines_, held_lines_;
    int count_ = 0;
};

// A Balancer that gets a wrong view of the endpoints, or whose attempts go to another endpoint than it chose.
class FaultyBalancer final : public Balancer, BalancerDelegate, peer::MessageHandler {
  public:
    FaultyBalancer(BalancerConfig config, BalancerDelegate& delegate, Ticks now, Fault fault)
        : delegate_(delegate),
          fault_(fault),
          slow_start_duration_(config.rules.slow_start_duration),
          now_(now) {
        real_ = Balancer::start(std::move(config), *this, now);
    }
    // ---- Balancer
    void set_time(Ticks now) override { real_->set_time(now_ = now); }
    void update_config(BalancerConfig config) override { real_->update_config(std::move(config)); }
    void begin_endpoint_list(EndpointListKind kind) override { real_->begin_endpoint_list(kind); }
    void add_endpoint(std::uint32_t endpoint, std::uint32_t zone, std::uint32_t cell, EndpointState life,
                      double size, Ticks started) override {
        if (fault_ == Fault::draining_endpoint_used && life == EndpointState::draining)
            life = EndpointState::active;
        if (fault_ == Fault::slow_start_budget_exceeded) {
            if (started > newest_started_) newest_endpoint_ = endpoint, newest_started_ = started;
            started = 0;
        }
        real_->add_endpoint(endpoint, zone, cell, life, size, started);
    }
    void end_endpoint_list() override { real_->end_endpoint_list(); }
    void on_request(std::uint64_t tunnel, const TunnelRequest& request) override {
        if (fault_ == Fault::stale_record_used && request.mid_flow) {
            const auto it = records_.find(hash_text(request.key));
            if (it != records_.end()) {
                real_->on_request(tunnel, request);
                redirected_[tunnel] = it->second;
                return;
            }
        }
        real_->on_request(tunnel, request);
    }
    void adopt_open_tunnel(std::uint64_t tunnel, const TunnelRequest& request,
                           std::uint32_t endpoint) override {
        real_->adopt_open_tunnel(tunnel, request, endpoint);
    }
    void on_opened(std::uint64_t tunnel, int attempt, std::uint32_t endpoint, Ticks took) override {
        real_->on_opened(tunnel, attempt, chosen_endpoint(tunnel, endpoint), took);
    }
    void on_ended(std::uint64_t tunnel, int attempt, std::uint32_t endpoint, Outcome outcome, Ticks took,
                  bool settled) override {
        real_->on_ended(tunnel, attempt, chosen_endpoint(tunnel, endpoint), outcome, took, settled);
    }
    void on_client_disconnected(std::uint64_t tunnel) override { real_->on_client_disconnected(tunnel); }
    Reason may_write(std::uint64_t tunnel, Ticks reserve) const override {
        return real_->may_write(tunnel, reserve);
    }
    void set_answer_deadline(Ticks when) override { real_->set_answer_deadline(when); }
    void on_load_changed(std::uint64_t tunnel, double load) override { real_->on_load_changed(tunnel, load); }
    void on_slow_messages(std::uint64_t tunnel, std::uint32_t endpoint, Ticks takes) override {
        real_->on_slow_messages(tunnel, chosen_endpoint(tunnel, endpoint), takes);
    }
    void on_unresponsive(std::uint32_t endpoint, Ticks span) override {
        real_->on_unresponsive(endpoint, span);
    }
    void on_health_check(std::uint32_t endpoint, Outcome outcome, Ticks took,
                         const LoadReport& report) override {
        real_->on_health_check(endpoint, outcome, took, report);
    }
    void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        if (fault_ == Fault::stale_record_used) peer::decode(bytes, *this);
        real_->on_gossip(node, bytes);
    }
    void on_timer(std::uint64_t label) override { real_->on_timer(label); }
    EndpointCounts endpoint_counts() const override { return real_->endpoint_counts(); }
    void serialize_state(std::string& into) const override { real_->serialize_state(into); }
    bool restore_state(std::string_view told, Ticks clock_shift) override {
        return real_->restore_state(told, clock_shift);
    }
    void resume_ownership() override { real_->resume_ownership(); }
    bool serialize_tunnel(std::uint64_t tunnel, std::string& into) const override {
        return real_->serialize_tunnel(tunnel, into);
    }
    bool restore_tunnel(std::uint64_t tunnel, std::string_view told, Ticks clock_shift) override {
        return real_->restore_tunnel(tunnel, told, clock_shift);
    }

    // ---- BalancerDelegate
    void start_attempt(std::uint64_t tunnel, std::uint32_t endpoint, Ticks max_wait) override {
        chosen_[tunnel] = endpoint;
        if (fault_ == Fault::slow_start_budget_exceeded && newest_started_ != 0 &&
            now_ - newest_started_ < slow_start_duration_)
            endpoint = newest_endpoint_;
        if (const auto it = redirected_.find(tunnel); it != redirected_.end()) endpoint = it->second;
        delegate_.start_attempt(tunnel, endpoint, max_wait);
    }
    void reject(std::uint64_t tunnel, Ticks after) override { delegate_.reject(tunnel, after); }
    void fail(std::uint64_t tunnel) override { delegate_.fail(tunnel); }
    void migrate(std::uint64_t tunnel) override { delegate_.migrate(tunnel); }
    void check_health(std::uint32_t endpoint) override { delegate_.check_health(endpoint); }
    void request_endpoint_list() override { delegate_.request_endpoint_list(); }
    void set_timer(Ticks at, std::uint64_t label) override { delegate_.set_timer(at, label); }
    void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        delegate_.send_gossip(node, bytes);
    }
    void broadcast_gossip(std::span<const std::uint8_t> bytes) override { delegate_.broadcast_gossip(bytes); }
    void log(std::string_view line) override { delegate_.log(line); }

    // ---- peer::MessageHandler: the first record that is received for a key is used for ever
    void on_record(std::uint64_t key, std::uint32_t endpoint, std::int64_t, std::uint32_t, double) override {
        records_.emplace(key, endpoint);
    }
    void on_lookup(std::uint64_t) override {}
    void on_lookup_reply(std::uint64_t, bool, std::uint32_t, std::int64_t) override {}
    void on_node_started() override {}
    void on_peer_down(std::uint32_t) override {}
    void on_load_total(std::uint32_t, bool, double) override {}
    void on_outcome(std::uint32_t, std::uint8_t) override {}
    void on_load_report(std::uint32_t, bool, double) override {}
    void on_affinity_target(std::uint32_t, std::uint32_t) override {}
    void on_cross_zone(std::uint32_t, std::uint32_t) override {}
    void on_lease_request(std::uint32_t, std::uint32_t) override {}
    void on_lease_grant(std::uint32_t, std::uint32_t) override {}
    void on_endpoint_failure(std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t) override {}

  private:
    std::uint32_t chosen_endpoint(std::uint64_t tunnel, std::uint32_t endpoint) const {
        const auto it = chosen_.find(tunnel);
        return it == chosen_.end() ? endpoint : it->second;
    }
    BalancerDelegate& delegate_;
    Fault fault_;
    Ticks slow_start_duration_, now_;
    std::unique_ptr<Balancer> real_;
    std::unordered_map<std::uint64_t, std::uint32_t> chosen_, redirected_;
    std::unordered_map<std::uint64_t, std::uint32_t> records_;
    std::uint32_t newest_endpoint_ = 0;
    Ticks newest_started_ = 0;
};

// Test hooks that inject one fault into every node of a simulation.
class FaultInjector final : public simulation::TestHooks {
  public:
    explicit FaultInjector(Fault fault) : fault_(fault) {}
    std::unique_ptr<net::System> wrap_system(net::System& real) override {
        return is_balancer_fault() ? nullptr : std::make_unique<FaultySystem>(real, fault_);
    }
    std::unique_ptr<Balancer> make_balancer(BalancerConfig config, BalancerDelegate& delegate,
                                            Ticks now) override {
        if (!is_balancer_fault()) return nullptr;
        return std::make_unique<FaultyBalancer>(std::move(config), delegate, now, fault_);
    }

  private:
    bool is_balancer_fault() const {
        return fault_ == Fault::draining_endpoint_used || fault_ == Fault::slow_start_budget_exceeded ||
               fault_ == Fault::stale_record_used;
    }
    Fault fault_;
};

}  // namespace fault_injection
