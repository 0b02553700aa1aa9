#include "tunnel/transfer.h"

#include <utility>

#include "serialization/binary.h"

namespace lemonstair::tunnel {

namespace {

template <class Io, class T>
void figures(Io& io, T& t) {
    io.value(t.name);
    io.value(t.profile);
    io.value(t.setup_from);
    io.value(t.heard_at);
    io.value(t.waiting_since);
    io.value(t.owed);
    io.value(t.up.line_size);
    io.value(t.down.line_size);
    io.value(t.setups);
    io.value(t.standing);
}

}  // namespace

// One that ends, or is being moved, does so here, within seconds.
bool Transfer::can_go(const Tunnel& t) {
    return t.state == TunnelState::relaying && !t.stays && !t.up.ended && !t.down.ended &&
           t.ending == Outcome::connection_lost;
}

bool Transfer::next(TunnelId& id, std::string& told) {
    for (std::uint32_t looked = 0; looked < floor_.tunnels.places(); ++looked) {
        if (next_ >= floor_.tunnels.places()) next_ = 0;
        const std::uint32_t at = next_++;
        if (!floor_.tunnels.used(at) || !can_go(floor_.tunnels[at])) continue;
        id = floor_.id_of(at);
        Tunnel& t = floor_.tunnels[at];
        write(id, t, told);
        floor_.go(id, TunnelState::handing);
        t.client.set_events(0);
        t.host.set_events(0);
        return true;
    }
    return false;
}

void Transfer::write(TunnelId id, const Tunnel& t, std::string& into) const {
    serialization::Writer out(into);
    out.text(floor_.hosts[t.place].id);
    figures(out, t);
    out.text({t.head.data(), t.head_size});
    out.text(t.up.waiting.view());
    out.text(t.down.waiting.view());
    std::string mind;
    if (t.known && !floor_.mind().serialize_tunnel(id, mind)) mind.clear();
    out.text(mind);
}

void Transfer::gone(TunnelId id) {
    if (floor_.find(id) == nullptr) return;
    book_.over(id, Outcome::cancelled);
    book_.drop(id);
}

// The other process died, or does not know its host: it goes on here as if nothing had been.
void Transfer::comes_back(TunnelId id, bool may_go) {
    Tunnel* t = floor_.find(id);
    if (t == nullptr || t->state != TunnelState::handing) return;
    t->stays = !may_go;
    relay_.go_on(id);
}

bool Transfer::take(std::string_view told, net::Fd client, net::Fd host) {
    serialization::Reader in(told);
    const std::uint32_t place = floor_.hosts.index_of(in.text());
    Tunnel read;
    figures(in, read);
    for (Ticks* time : {&read.setup_from, &read.heard_at, &read.waiting_since})
        if (*time != 0) *time += clock_shift_;
    const auto head = in.text(), up = in.text(), down = in.text(), mind = in.text();
    if (!in.good() || !in.at_end() || place == discovery::EndpointDirectory::none ||
        head.size() > read.head.size() || up.size() > net::buffer_bytes || down.size() > net::buffer_bytes ||
        read.profile >= floor_.launch.traffic_class_names.size() || read.setups < 1)
        return false;
    const TunnelId id = floor_.open(std::move(client), false);
    Tunnel& t = *floor_.find(id);
    read.client = std::move(t.client);
    t = std::move(read);
    t.place = place;
    t.host = floor_.socket(id, Side::host, std::move(host), 0);
    head.copy(t.head.data(), head.size());
    t.head_size = static_cast<std::uint8_t>(head.size());
    for (const auto& [way, bytes] : {std::pair{&t.up, up}, std::pair{&t.down, down}}) {
        if (bytes.empty()) continue;
        way->waiting = floor_.pool.take();
        way->waiting.append(bytes);
    }
    if (t.name != 0) floor_.names.put(t.name, static_cast<std::uint32_t>(id));
    floor_.go(id, TunnelState::handing);
    t.known = !mind.empty() && floor_.mind().restore_tunnel(id, mind, clock_shift_);
    relay_.go_on(id);
    return true;
}

}  // namespace lemonstair::tunnel
