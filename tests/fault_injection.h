// Nodes with a wilful fault, for the one purpose of showing that the lab's rules find it: what they take from
// the system, or what decides for them, is tampered with. None of this is linked into anything but the tests.
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

namespace spoilt {

using namespace lemonstair;

enum class Fault {
    answer_dropped,
    second_setup,
    drained_host_used,
    cold_host_flooded,
    answer_after_the_last,
    tunnel_leaked,
    old_record_believed,
    line_overtaken,
    move_forgotten,
    descriptors_hoarded,
    // of days with operators
    figures_untrue,
    pong_while_drained,
    handed_tunnel_lost,
    readiness_unsaid,
    call_unanswered
};

// All that a node takes from the system, passed on, but for the fault.
class Between final : public net::System {
  public:
    Between(net::System& real, Fault fault) : real_(real), fault_(fault) {}
    Ticks now() override { return real_.now(); }
    Ticks clock_base() override { return real_.clock_base(); }
    std::uint64_t processor_us() override { return real_.processor_us(); }
    int poll(std::span<pollfd> set, Ticks longest) override {
        for (auto& [fd, line] : doubles_)
            if (!line.empty()) line.erase(0, real_.write_some(fd, line).bytes);
        return real_.poll(set, longest);
    }
    void close(int fd) override {
        said_.erase(fd);
        held_.erase(fd);
        const bool client = clients_.erase(fd) > 0;
        if (fault_ == Fault::tunnel_leaked && client && ++count_ % 5 == 0) return;
        if (fault_ == Fault::descriptors_hoarded && !client) return;
        real_.close(fd);
    }
    std::size_t descriptor_limit(std::size_t asked) override { return real_.descriptor_limit(asked); }
    net::Fd listen_on(const net::Address& at) override { return mine(real_.listen_on(at)); }
    void defer_accept(int listener) override { real_.defer_accept(listener); }
    net::Fd bind_datagrams(const net::Address& at) override { return mine(real_.bind_datagrams(at)); }
    net::Fd connect_to(const net::Address& to) override {
        net::Fd fd = mine(real_.connect_to(to));
        if (fd.open()) called_[fd.get()] = to;
        return fd;
    }
    net::Fd accept(int listener) override {
        net::Fd fd = mine(real_.accept(listener));
        if (fd.open()) clients_[fd.get()] = true;
        return fd;
    }
    net::Fd spare() override { return mine(real_.spare()); }
    int connected(int fd) override { return real_.connected(fd); }
    bool peer_closed(int fd) override { return real_.peer_closed(fd); }
    net::IoResult read_some(int fd, std::span<char> into) override { return real_.read_some(fd, into); }
    net::IoResult peek(int fd, std::span<char> into) override { return real_.peek(fd, into); }
    net::IoResult discard_some(int fd) override { return real_.discard_some(fd); }
    net::IoResult write_some(int fd, std::string_view text) override {
        if (fault_ == Fault::figures_untrue && text.find("\"operations\"") != std::string_view::npos) {
            std::string untrue(text);  // no tunnel was ever opened
            for (auto at = untrue.find("fulfilled"); at != std::string::npos;
                 at = untrue.find("fulfilled", at + 1))
                for (auto digit = at + 11; untrue[digit] >= '0' && untrue[digit] <= '9'; ++digit)
                    untrue[digit] = '0';
            return real_.write_some(fd, untrue);
        }
        if (fault_ == Fault::call_unanswered && text.substr(0, 5) == "HTTP/" && ++count_ % 5 == 0)
            return {.bytes = text.size()};
        if (fault_ == Fault::pong_while_drained && text.substr(0, 12) == "HTTP/1.1 503")
            return real_.write_some(fd, std::string("HTTP/1.1 200").append(text.substr(12)));
        const bool client = clients_.count(fd) > 0;
        const bool last = text.substr(0, 4) == "BUSY" || text.substr(0, 3) == "ERR";
        if (client && last) said_[fd] = true;
        if (fault_ == Fault::answer_dropped && client && last) return {.bytes = text.size()};
        if (fault_ == Fault::move_forgotten && client && text == "MOVE\r\n") return {.bytes = text.size()};
        if (fault_ == Fault::second_setup && !client && text.substr(0, 5) == "OPEN " && ++count_ % 3 == 0) {
            net::Fd twin = real_.connect_to(called_[fd]);
            if (twin.open()) doubles_[twin.release()] = std::string(text);
        }
        // Whole lines only: one waits until the next has gone.
        if (fault_ == Fault::line_overtaken && client && text.substr(0, 2) == "e " && text.back() == '\n') {
            std::string& held = held_[fd];
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
        if (fault_ == Fault::answer_after_the_last && said_.count(fd) > 0) real_.write_some(fd, "BUSY\r\n");
        real_.shutdown_write(fd);
    }
    void reset_on_close(int fd) override { real_.reset_on_close(fd); }
    std::ptrdiff_t send_to(int fd, const net::Address& to, std::span<const std::uint8_t> bytes) override {
        return real_.send_to(fd, to, bytes);
    }
    std::ptrdiff_t receive(int fd, net::Address& from, std::span<std::uint8_t> into) override {
        return real_.receive(fd, from, into);
    }
    net::Fd inherited_listener(int fd) override { return mine(real_.inherited_listener(fd)); }
    net::Fd listen_local(const std::string& name) override { return mine(real_.listen_local(name)); }
    net::Fd connect_local(const std::string& name) override { return mine(real_.connect_local(name)); }
    net::Fd accept_local(int listener) override { return mine(real_.accept_local(listener)); }
    net::IoResult send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) override {
        constexpr std::size_t kind_at = 5;  // behind the mark and the version
        const bool ready =
            bytes.size() > kind_at && bytes[kind_at] == static_cast<char>(hot_restart::PacketKind::ready);
        const bool lost =
            (fault_ == Fault::handed_tunnel_lost && !descriptors.empty() && ++count_ % 3 == 0) ||
            (fault_ == Fault::readiness_unsaid && ready);
        if (lost) return {.bytes = bytes.size()};
        return real_.send_packet(fd, bytes, descriptors);
    }
    net::IoResult receive_packet(int fd, std::span<char> into, std::vector<net::Fd>& descriptors) override {
        const std::size_t before = descriptors.size();
        const auto got = real_.receive_packet(fd, into, descriptors);
        for (std::size_t i = before; i < descriptors.size(); ++i)
            descriptors[i] = net::Fd(descriptors[i].release(), this);
        return got;
    }
    net::Fd signals() override { return mine(real_.signals()); }
    int next_signal(int fd) override { return real_.next_signal(fd); }
    const char* read_file(const std::string& path, std::size_t longest, std::string& into) override {
        return real_.read_file(path, longest, into);
    }

  private:
    net::Fd mine(net::Fd fd) { return fd.open() ? net::Fd(fd.release(), this) : net::Fd(); }
    net::System& real_;
    Fault fault_;
    std::map<int, bool> clients_, said_;
    std::map<int, net::Address> called_;
    std::map<int, std::string> doubles_, held_;
    int count_ = 0;
};

// The module with a wrong view of the hosts, or whose setups go elsewhere.
class Decider final : public Balancer, BalancerDelegate, peer::MessageHandler {
  public:
    Decider(BalancerConfig terms, BalancerDelegate& host, Ticks now, Fault fault)
        : host_(host), fault_(fault), cold_(terms.rules.slow_start_duration), now_(now) {
        real_ = Balancer::start(std::move(terms), *this, now);
    }
    // ---- to the module
    void set_time(Ticks now) override { real_->set_time(now_ = now); }
    void update_config(BalancerConfig terms) override { real_->update_config(std::move(terms)); }
    void begin_endpoint_list(EndpointListKind kind) override { real_->begin_endpoint_list(kind); }
    void add_endpoint(std::uint32_t ep, std::uint32_t zone, std::uint32_t cell, EndpointState life,
                      double size, Ticks started) override {
        if (fault_ == Fault::drained_host_used && life == EndpointState::draining)
            life = EndpointState::active;
        if (fault_ == Fault::cold_host_flooded) {
            if (started > youngest_started_) youngest_ = ep, youngest_started_ = started;
            started = 0;
        }
        real_->add_endpoint(ep, zone, cell, life, size, started);
    }
    void end_endpoint_list() override { real_->end_endpoint_list(); }
    void on_request(std::uint64_t tun, const TunnelRequest& a) override {
        if (fault_ == Fault::old_record_believed && a.mid_flow) {
            const auto it = records_.find(hash_text(a.key));
            if (it != records_.end()) {
                real_->on_request(tun, a);
                misled_[tun] = it->second;
                return;
            }
        }
        real_->on_request(tun, a);
    }
    void adopt_open_tunnel(std::uint64_t tun, const TunnelRequest& a, std::uint32_t ep) override {
        real_->adopt_open_tunnel(tun, a, ep);
    }
    void on_opened(std::uint64_t tun, int setup, std::uint32_t ep, Ticks took) override {
        real_->on_opened(tun, setup, own(tun, ep), took);
    }
    void on_ended(std::uint64_t tun, int setup, std::uint32_t ep, Outcome ending, Ticks took,
                  bool settled) override {
        real_->on_ended(tun, setup, own(tun, ep), ending, took, settled);
    }
    void on_client_disconnected(std::uint64_t tun) override { real_->on_client_disconnected(tun); }
    Reason may_write(std::uint64_t tun, Ticks reserve) const override {
        return real_->may_write(tun, reserve);
    }
    void set_answer_deadline(Ticks when) override { real_->set_answer_deadline(when); }
    void on_load_changed(std::uint64_t tun, double load) override { real_->on_load_changed(tun, load); }
    void on_slow_messages(std::uint64_t tun, std::uint32_t ep, Ticks takes) override {
        real_->on_slow_messages(tun, own(tun, ep), takes);
    }
    void on_unresponsive(std::uint32_t ep, Ticks span) override { real_->on_unresponsive(ep, span); }
    void on_health_check(std::uint32_t ep, Outcome ending, Ticks took, const LoadReport& report) override {
        real_->on_health_check(ep, ending, took, report);
    }
    void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        if (fault_ == Fault::old_record_believed) peer::decode(bytes, *this);
        real_->on_gossip(node, bytes);
    }
    void on_timer(std::uint64_t label) override { real_->on_timer(label); }
    EndpointCounts endpoint_counts() const override { return real_->endpoint_counts(); }
    void serialize_state(std::string& into) const override { real_->serialize_state(into); }
    bool restore_state(std::string_view told, Ticks clock_shift) override {
        return real_->restore_state(told, clock_shift);
    }
    void resume_ownership() override { real_->resume_ownership(); }
    bool serialize_tunnel(std::uint64_t tun, std::string& into) const override {
        return real_->serialize_tunnel(tun, into);
    }
    bool restore_tunnel(std::uint64_t tun, std::string_view told, Ticks clock_shift) override {
        return real_->restore_tunnel(tun, told, clock_shift);
    }

    // ---- from the module
    void start_attempt(std::uint64_t tun, std::uint32_t ep, Ticks max_wait) override {
        chosen_[tun] = ep;
        if (fault_ == Fault::cold_host_flooded && youngest_started_ != 0 && now_ - youngest_started_ < cold_)
            ep = youngest_;
        if (const auto it = misled_.find(tun); it != misled_.end()) ep = it->second;
        host_.start_attempt(tun, ep, max_wait);
    }
    void reject(std::uint64_t tun, Ticks after) override { host_.reject(tun, after); }
    void fail(std::uint64_t tun) override { host_.fail(tun); }
    void migrate(std::uint64_t tun) override { host_.migrate(tun); }
    void check_health(std::uint32_t ep) override { host_.check_health(ep); }
    void request_endpoint_list() override { host_.request_endpoint_list(); }
    void set_timer(Ticks at, std::uint64_t label) override { host_.set_timer(at, label); }
    void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        host_.send_gossip(node, bytes);
    }
    void broadcast_gossip(std::span<const std::uint8_t> bytes) override { host_.broadcast_gossip(bytes); }
    void log(std::string_view line) override { host_.log(line); }

    // ---- records as nodes tell them; the first that was heard of a key is believed for ever
    void on_record(std::uint64_t key, std::uint32_t ep, std::int64_t, std::uint32_t, double) override {
        records_.emplace(key, ep);
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
    std::uint32_t own(std::uint64_t tun, std::uint32_t ep) const {
        const auto it = chosen_.find(tun);
        return it == chosen_.end() ? ep : it->second;
    }
    BalancerDelegate& host_;
    Fault fault_;
    Ticks cold_, now_;
    std::unique_ptr<Balancer> real_;
    std::unordered_map<std::uint64_t, std::uint32_t> chosen_, misled_;
    std::unordered_map<std::uint64_t, std::uint32_t> records_;
    std::uint32_t youngest_ = 0;
    Ticks youngest_started_ = 0;
};

class Spoiler final : public simulation::Tamper {
  public:
    explicit Spoiler(Fault fault) : fault_(fault) {}
    std::unique_ptr<net::System> between(net::System& real) override {
        return decides_wrong() ? nullptr : std::make_unique<Between>(real, fault_);
    }
    std::unique_ptr<Balancer> decides(BalancerConfig terms, BalancerDelegate& host, Ticks now) override {
        if (!decides_wrong()) return nullptr;
        return std::make_unique<Decider>(std::move(terms), host, now, fault_);
    }

  private:
    bool decides_wrong() const {
        return fault_ == Fault::drained_host_used || fault_ == Fault::cold_host_flooded ||
               fault_ == Fault::old_record_believed;
    }
    Fault fault_;
};

}  // namespace spoilt
