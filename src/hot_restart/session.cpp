#include "hot_restart/session.h"

#include <algorithm>
#include <utility>

namespace lemonstair::hot_restart {

namespace {

using net::Ticks;

// Tenths of a ms. The platform gives a new process 6 s to become ready. One request may take 2 s of them.
// Requests that the old process rejects because it takes part in a restart already are repeated for 4 s. An
// old process waits 5 s until a connected peer has requested its state and become ready.
constexpr Ticks request_timeout = 20000, start_timeout = 40000, offer_timeout = 50000;
// How long a new process waits, once it is ready, until the old one has stopped accepting clients. An old
// process that runs accepts clients meanwhile.
constexpr Ticks stop_timeout = 5000;
constexpr Ticks progress_interval = 2500, retry_pause = 2000;
constexpr std::size_t max_tunnels_in_transfer = 16, descriptors_per_tunnel = 2, spare_descriptors = 8;
enum Timer : std::uint64_t { progress_timer, retry_timer };

}  // namespace

Session::Session(net::EventLoop& loop, Delegate& delegate, log::Log& log, request_ids::IdRegistry& ids,
                 std::string node_name, std::string path)
    : loop_(loop),
      delegate_(delegate),
      log_(log),
      node_name_(std::move(node_name)),
      enabled_(!path.empty()),
      channel_(loop, *this, std::move(path), encode({.kind = PacketKind::reject, .flag = true})),
      id_exchange_(ids, channel_) {}

void Session::start() {
    started_at_ = role_since_ = loop_.now();
    if (enabled_ && channel_.connect()) {
        transition(Event::peer_found);
        return request_state();
    }
    if (enabled_ && !channel_.listen())
        log_.error()
            << "hot restart: cannot bind the local socket; this process serves, but no new one can take over";
    delegate_.begin({}, {});
}

void Session::request_state() {
    send({.kind = PacketKind::request_state,
          .descriptors_held = static_cast<std::uint32_t>(delegate_.descriptors_held()),
          .number = protocol_revision,
          .payload = node_name_});
    // A repeated request gets only the time that is left until the start timeout.
    set_give_up_time(std::min(request_timeout, started_at_ + start_timeout - loop_.now()));
}

void Session::set_give_up_time(Ticks timeout) {
    give_up_at_ = loop_.now() + timeout;
    if (!std::exchange(progress_timer_set_, true))
        loop_.schedule(loop_.now() + progress_interval, *this, progress_timer);
}

bool Session::transition(Event event) {
    const auto to = next(role_, event);
    if (!to) return false;
    if (*to == role_) return true;
    const Role from = std::exchange(role_, *to);
    log_.info() << "hot restart: " << name_of(from) << " -> " << name_of(*to) << " after "
                << (loop_.now() - std::exchange(role_since_, loop_.now())) / 10 << " ms, tunnels sent "
                << tunnels_sent_ << ", received " << tunnels_received_ << ", descriptors held "
                << delegate_.descriptors_held() << ", by the other process " << peer_descriptors_;
    if (is_active(*to) && !channel_.is_listening()) channel_.listen();
    if (!is_active(*to)) channel_.stop_listening();
    id_exchange_.on_role_changed(*to);
    if (*to == Role::standalone) {
        id_exchange_.on_disconnect();
        set_peer_descriptors(0);
        for (const auto number : std::exchange(in_transfer_, {})) delegate_.on_transfer_result(number, false);
    }
    // A new process calls `begin` next; its delegate must not be called before that.
    if (from != Role::requesting_state) delegate_.on_role_changed(from, *to);
    return true;
}

void Session::abandon(std::string_view reason) {
    if (role_ == Role::standalone && !channel_.is_connected()) return;
    log_.error() << "hot restart abandoned, closing the connection to the other process: " << reason;
    channel_.disconnect();
    if (role_ == Role::requesting_state) return begin_without_state();
    transition(Event::disconnected);
}

void Session::begin_without_state() {
    transition(Event::disconnected);
    delegate_.begin({}, {});
}

void Session::on_disconnect() {
    if (role_ == Role::receiving && !delegate_.has_tunnels())
        log_.info() << "hot restart: the old process has exited";
    if (role_ == Role::requesting_state) return retry_later();
    transition(Event::disconnected);
}

// Called on a rejection or a lost connection. An old process that takes part in another restart may accept a
// later request, also where its rejection was lost with the connection. If the old process died, the retry
// cannot connect and the node begins without its state.
void Session::retry_later() {
    channel_.disconnect();
    id_exchange_.on_disconnect();
    endpoint_list_.clear();
    balancer_state_.clear();
    if (loop_.now() - started_at_ < start_timeout)
        return loop_.schedule(loop_.now() + retry_pause, *this, retry_timer);
    begin_without_state();
}

// Only one process at a time can take over; a third one has to wait.
bool Session::accepts_connection() {
    if (role_ != Role::standalone || channel_.is_connected()) return false;
    set_give_up_time(offer_timeout);
    return true;
}

void Session::on_packet(std::string_view bytes, std::vector<net::Fd>& descriptors) {
    Packet packet;
    switch (decode(bytes, packet)) {
        case DecodeResult::ok:
            if (!handle(packet, descriptors)) abandon("the peer sent a packet that is invalid in this role");
            return;
        case DecodeResult::version_mismatch:
            if (role_ == Role::standalone) displaced_ = true;
            send({.kind = PacketKind::reject});
            return abandon("the peer has another protocol version");
        case DecodeResult::malformed:
            return abandon("the peer sent a malformed packet");
    }
}

bool Session::handle(const Packet& packet, std::vector<net::Fd>& descriptors) {
    switch (packet.kind) {
        case PacketKind::request_state:
            return handle_request(packet);
        case PacketKind::reject:
            handle_reject(packet);
            return true;
        case PacketKind::endpoint_list_part:
        case PacketKind::balancer_state_part:
            return handle_state_part(packet);
        case PacketKind::state_complete:
            return handle_state_complete(packet);
        case PacketKind::ready:
            return handle_ready();
        case PacketKind::tunnel:
            return handle_tunnel(packet, descriptors);
        case PacketKind::tunnel_result:
            return handle_tunnel_result(packet);
        case PacketKind::descriptors_held:
            set_peer_descriptors(packet.descriptors_held);
            return true;
        case PacketKind::ids:
        case PacketKind::id_request:
        case PacketKind::id_result:
            return handle_ids(packet);
        case PacketKind::accepting_stopped:
            return handle_accepting_stopped();
        case PacketKind::kinds_end:
            break;
    }
    return false;
}

bool Session::handle_request(const Packet& packet) {
    if (role_ != Role::standalone) return false;
    if (packet.payload != node_name_) {
        abandon("the peer belongs to another node");
        return true;
    }
    id_exchange_.on_peer_revision(packet.number);
    transition(Event::request_received);
    set_peer_descriptors(packet.descriptors_held);
    id_exchange_.send_all_reports();
    send_state();
    return true;
}

// The new process may accept clients only when it knows each id that this one has.
bool Session::handle_ready() {
    if (!transition(Event::peer_ready)) return false;
    id_exchange_.send_all_reports();
    if (id_exchange_.active()) send({.kind = PacketKind::accepting_stopped});
    transfer_tunnels();
    return true;
}

// May also come when this process has given up waiting for it.
bool Session::handle_accepting_stopped() {
    if (role_ != Role::taking_over && role_ != Role::receiving) return false;
    transition(Event::peer_stopped);
    return true;
}

bool Session::handle_ids(const Packet& packet) {
    if (role_ == Role::standalone) return false;
    if (packet.kind == PacketKind::ids) return id_exchange_.handle_report(packet);
    if (role_ != Role::receiving && !is_replaced(role_)) return false;
    if (packet.kind == PacketKind::id_request) return id_exchange_.handle_request(packet);
    request_ids::IdResult result{.id_hash = packet.number, .serial = 0, .granted = packet.flag};
    if (!decode_serial(packet.payload, result.serial)) return false;
    delegate_.on_id_result(result);
    return true;
}

void Session::handle_reject(const Packet& packet) {
    const bool retry_allowed = packet.flag;
    if (role_ == Role::requesting_state && retry_allowed) return retry_later();
    if (role_ == Role::offering_state) displaced_ = true;
    abandon("the peer rejected the restart");
}

bool Session::handle_state_part(const Packet& packet) {
    if (role_ != Role::requesting_state) return false;
    const bool is_list = packet.kind == PacketKind::endpoint_list_part;
    const std::size_t total = endpoint_list_.size() + balancer_state_.size() + packet.payload.size();
    if (total > max_state_bytes) return false;
    (is_list ? endpoint_list_ : balancer_state_).append(packet.payload);
    // Older versions send no clock base, but 0.
    if (is_list && packet.number != 0) delegate_.on_peer_clock_base(static_cast<Ticks>(packet.number));
    return true;
}

// The old process stops accepting clients when it receives `ready`. This process begins before it sends
// `ready`, and if the old one does not report ids, it accepts clients from then on: it would not be told when
// the old one has stopped.
bool Session::handle_state_complete(const Packet& packet) {
    if (role_ != Role::requesting_state) return false;
    peer_descriptors_ = packet.descriptors_held;
    if (packet.number != endpoint_list_.size() + balancer_state_.size()) {
        abandon("the peer's state is incomplete");
        return true;
    }
    delegate_.on_peer_descriptors(peer_descriptors_);
    transition(Event::state_received);
    delegate_.begin(std::exchange(endpoint_list_, {}), std::exchange(balancer_state_, {}));
    if (!id_exchange_.active()) transition(Event::peer_stopped);
    send({.kind = PacketKind::ready});
    send_descriptors_held();
    set_give_up_time(stop_timeout);
    return true;
}

bool Session::handle_tunnel(const Packet& packet, std::vector<net::Fd>& descriptors) {
    if (role_ != Role::receiving) return false;
    const bool complete = descriptors.size() == descriptors_per_tunnel;
    const bool accepted = complete && delegate_.receive_tunnel(packet.payload, std::move(descriptors[0]),
                                                               std::move(descriptors[1]));
    tunnels_received_ += accepted ? 1 : 0;
    send({.kind = PacketKind::tunnel_result,
          .flag = accepted,
          .descriptors_held = static_cast<std::uint32_t>(delegate_.descriptors_held()),
          .number = packet.number});
    return true;
}

bool Session::handle_tunnel_result(const Packet& packet) {
    if (!is_replaced(role_) || in_transfer_.erase(packet.number) == 0) return false;
    const bool accepted = packet.flag;
    tunnels_sent_ += accepted ? 1 : 0;
    set_peer_descriptors(packet.descriptors_held);
    delegate_.on_transfer_result(packet.number, accepted);
    transfer_tunnels();
    return true;
}

void Session::set_peer_descriptors(std::size_t descriptors) {
    peer_descriptors_ = descriptors;
    delegate_.on_peer_descriptors(descriptors);
}

void Session::send_state() {
    std::string endpoint_list, balancer_state;
    delegate_.export_state(endpoint_list, balancer_state);
    send_parts(PacketKind::endpoint_list_part, endpoint_list);
    send_parts(PacketKind::balancer_state_part, balancer_state);
    send({.kind = PacketKind::state_complete,
          .descriptors_held = static_cast<std::uint32_t>(delegate_.descriptors_held()),
          .number = endpoint_list.size() + balancer_state.size()});
}

void Session::send_parts(PacketKind kind, std::string_view bytes) {
    const bool is_list = kind == PacketKind::endpoint_list_part;
    for (; !bytes.empty(); bytes.remove_prefix(std::min(bytes.size(), max_part_bytes)))
        send({.kind = kind,
              .number = is_list ? static_cast<std::uint64_t>(delegate_.clock_base()) : 0,
              .payload = bytes.substr(0, max_part_bytes)});
}

// Both processes hold the descriptors of a tunnel in transfer, so that each tunnel needs twice as many. One
// tunnel is always allowed, since without progress no descriptor would ever be freed.
std::size_t Session::max_in_transfer() const {
    const std::size_t held = delegate_.descriptors_held() + peer_descriptors_ + spare_descriptors;
    const std::size_t limit = delegate_.descriptor_limit();
    const std::size_t left = limit > held ? limit - held : 0;
    return std::clamp<std::size_t>(left / (2 * descriptors_per_tunnel), 1, max_tunnels_in_transfer);
}

void Session::transfer_tunnels() {
    // The calls below may call this function again.
    if (!is_replaced(role_) || std::exchange(transferring_now_, true)) return;
    const std::size_t max_count = max_in_transfer();
    while (in_transfer_.size() < max_count && channel_.is_connected() && channel_.queued_packets() == 0) {
        TransferredTunnel tunnel;
        if (!delegate_.next_tunnel(tunnel)) break;
        in_transfer_.insert(tunnel.number);
        transition(Event::tunnel_pending);
        send({.kind = PacketKind::tunnel, .number = tunnel.number, .payload = tunnel.bytes},
             {tunnel.client, tunnel.endpoint});
    }
    transferring_now_ = false;
    if (role_ == Role::transferring && !delegate_.has_tunnels()) transition(Event::all_transferred);
}

void Session::send(const Packet& packet, std::vector<int> descriptors) {
    channel_.send(encode(packet), std::move(descriptors));
}

void Session::send_descriptors_held() {
    const std::size_t held = delegate_.descriptors_held();
    if (held == std::exchange(reported_descriptors_, held)) return;
    send({.kind = PacketKind::descriptors_held, .descriptors_held = static_cast<std::uint32_t>(held)});
}

void Session::on_timer(std::uint64_t token) {
    if (token == progress_timer) return check_progress();
    if (role_ != Role::requesting_state || channel_.is_connected()) return;
    if (channel_.connect()) return request_state();
    begin_without_state();
}

void Session::check_progress() {
    progress_timer_set_ = role_ != Role::standalone || channel_.is_connected();
    if (!progress_timer_set_) return;
    loop_.schedule(loop_.now() + progress_interval, *this, progress_timer);
    // A peer that is stuck, or that connects and sends nothing, must not block this process.
    const bool waiting = role_ == Role::requesting_state || role_ == Role::offering_state ||
                         role_ == Role::taking_over || role_ == Role::standalone;
    if (waiting && channel_.is_connected() && loop_.now() >= give_up_at_) return give_up_waiting();
    if (role_ == Role::receiving || is_replaced(role_)) send_descriptors_held();
    transfer_tunnels();
}

// An old process that does not run accepts no clients either, and reads `ready` before anything else when it
// runs again.
void Session::give_up_waiting() {
    if (role_ == Role::taking_over) {
        log_.error()
            << "hot restart: the old process has not confirmed that it stopped accepting clients; this "
               "process accepts them from now on";
        transition(Event::peer_stopped);
        return;
    }
    if (role_ == Role::requesting_state) send({.kind = PacketKind::reject});
    abandon("the peer did not answer in time");
}

}  // namespace lemonstair::hot_restart
