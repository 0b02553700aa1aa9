#include "fakes/discovery.h"

#include <array>
#include <cstdio>
#include <utility>

namespace lemonstair::fakes {

namespace {

constexpr Ticks keepalive_interval = 20000;

std::string_view name_of(DiscoveryEntry::Phase phase) {
    switch (phase) {
        case DiscoveryEntry::Phase::active:
            return "in_service";
        case DiscoveryEntry::Phase::terminating:
            return "terminating";
        case DiscoveryEntry::Phase::terminated:
            return "terminated";
    }
    return "";
}

}  // namespace

std::string entry_json(const DiscoveryEntry& entry, const net::Address& at) {
    char text[320];
    std::snprintf(text, sizeof text,
                  R"({"id":"%s","host_port":"%s","locality":"%s","cell":%u,"phase":"%.*s","size":%.2f,)"
                  R"("up_since_ms":%lld})",
                  entry.id.c_str(), net::format_address(at).c_str(), entry.zone.c_str(), entry.cell,
                  static_cast<int>(name_of(entry.phase).size()), name_of(entry.phase).data(), entry.size,
                  static_cast<long long>(entry.up_since_ms));
    return text;
}

void FakeDiscovery::open(std::vector<DiscoveryEntry> list) {
    list_ = std::move(list);
    changed_.assign(list_.size(), revision_);
    environment_.network.listen(address(), *this, 256);
    if (!sends_keepalives_)
        environment_.events.schedule(environment_.now() + keepalive_interval, *this, token(keepalive, 0));
    sends_keepalives_ = true;
}

void FakeDiscovery::change(std::uint32_t server, const DiscoveryEntry& entry, Ticks after) {
    pending_changes_.push_back({server, entry});
    environment_.events.schedule(environment_.now() + after, *this,
                                 token(change_due, pending_changes_.size() - 1));
}

void FakeDiscovery::set_down(bool on) {
    if (down_ == on) return;
    down_ = on;
    environment_.note("discovery down", port_, on ? 1 : 0);
    report_reachability();
    if (!on) return environment_.network.listen(address(), *this, 256);
    environment_.network.unlisten(address());
    reset_all();
}

void FakeDiscovery::set_silent(bool on) {
    silent_ = on;
    environment_.note("discovery silent", port_, on ? 1 : 0);
    report_reachability();
    // Connections of the silent time are not resumed: the nodes have to connect again.
    if (!on) reset_all();
}

void FakeDiscovery::set_mute(bool on) {
    mute_ = on;
    environment_.note("discovery mute", port_, on ? 1 : 0);
    report_reachability();
    for (Request& request : requests_) request.forgotten = true;
}

void FakeDiscovery::cut_answers(Cut how) {
    cut_ = how;
    environment_.note("discovery cuts answers", port_, static_cast<std::uint64_t>(how));
    report_reachability();
    if (how != Cut::none) reset_all();
}

void FakeDiscovery::set_unreachable(bool on) {
    unreachable_ = on;
    environment_.note("discovery unreachable", port_, on ? 1 : 0);
    report_reachability();
}

void FakeDiscovery::reset_all() {
    for (Request& request : requests_)
        if (!request.closed) environment_.network.reset(request.end), request.closed = true;
}

void FakeDiscovery::report_reachability() {
    const bool reachable = !down_ && !silent_ && !mute_ && !unreachable_ && cut_ == Cut::none;
    if (std::exchange(reported_reachable_, reachable) != reachable)
        environment_.execution_log.discovery_reachable(reachable);
}

void FakeDiscovery::restart(std::uint64_t revision) {
    revision_ = revision;
    changed_.assign(list_.size(), revision);
    for (std::uint32_t index = 0; index < requests_.size(); ++index) close(index);
}

void FakeDiscovery::retire(Ticks after) {
    environment_.network.unlisten(address());
    down_ = true;
    environment_.events.schedule(environment_.now() + after, *this, token(retire_due, 0));
}

void FakeDiscovery::close(std::uint32_t index) {
    if (requests_[index].closed) return;
    requests_[index].closed = true;
    environment_.network.close(requests_[index].end);
}

void FakeDiscovery::on_connection(const net::Address& at) {
    while (const auto end = environment_.network.accept(at)) {
        environment_.network.set_owner(*end, *this);
        by_end_[end->number()] = static_cast<std::uint32_t>(requests_.size());
        requests_.emplace_back();
        requests_.back().end = *end;
        requests_.back().node = environment_.network.machine_of(end->other());
        on_stream_event(*end);
    }
}

void FakeDiscovery::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end() || requests_[it->second].closed) return;
    const std::uint32_t index = it->second;
    std::array<char, 2048> bytes;
    for (;;) {
        Request& request = requests_[index];
        const auto got = environment_.network.read(end, bytes, true);
        if (got.ended || got.error != 0) return close(index);
        if (got.bytes == 0) return;
        request.reader.feed({bytes.data(), got.bytes}, [&](std::string_view line) {
            if (line.substr(0, 4) == "GET ") {
                const auto from = line.find("index=");
                if (from != std::string_view::npos) {
                    std::string_view rest = line.substr(from + 6);
                    parse_number(next_word(rest), request.known_revision);
                }
                request.request_line_received = true;
            }
            if (line.empty() && request.request_line_received && !request.watches) {
                request.watches = true;
                environment_.events.schedule(environment_.now() + answer_after_, *this,
                                             token(answer_request, index));
            }
            return true;
        });
    }
}

std::string FakeDiscovery::list_json(Machine node, bool whole,
                                     const std::vector<std::uint32_t>& servers) const {
    std::string text = "{\"revision\":" + std::to_string(revision_) +
                       ",\"complete\":" + (whole ? "true" : "false") + ",\"members\":[";
    bool first = true;
    for (const std::uint32_t server : servers) {
        text += first ? "" : ",";
        text += entry_json(list_[server], environment_.network.address_seen_by(node, list_[server].at));
        first = false;
    }
    return text + "]}";
}

void FakeDiscovery::write_chunk(std::uint32_t index, std::string_view line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    environment_.network.write(requests_[index].end, std::string(size).append(line).append("\n\r\n"), true);
}

void FakeDiscovery::answer(std::uint32_t index) {
    Request& request = requests_[index];
    if (!may_send_to(request)) return;
    request.answered = true;
    environment_.network.write(request.end, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true);
    if (request.known_revision == revision_ && cut_ == Cut::none) return write_chunk(index, "");
    // A revision that this service never gave out is answered with the whole list.
    const bool whole = request.known_revision == 0 || request.known_revision > revision_;
    std::vector<std::uint32_t> servers;
    for (std::uint32_t server = 0; server < list_.size(); ++server)
        if (whole ? list_[server].phase != DiscoveryEntry::Phase::terminated
                  : changed_[server] > request.known_revision)
            servers.push_back(server);
    const std::string list = list_json(request.node, whole, servers);
    if (cut_ != Cut::none) return cut_off_answer(index, list);
    write_chunk(index, list);
    notify(index, servers);
}

void FakeDiscovery::cut_off_answer(std::uint32_t index, const std::string& line) {
    Request& request = requests_[index];
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", line.size() + 1);
    environment_.network.write(request.end, size.data() + line.substr(0, line.size() / 2), true);
    request.forgotten = true;
    if (cut_ != Cut::by_reset) return;
    environment_.network.reset(request.end);
    request.closed = true;
}

// Informs the execution log once the list has reached the node's machine.
void FakeDiscovery::notify(std::uint32_t index, const std::vector<std::uint32_t>& servers) {
    notifications_.push_back({requests_[index].node, {}});
    for (const std::uint32_t server : servers)
        notifications_.back().servers.emplace_back(server,
                                                   list_[server].phase == DiscoveryEntry::Phase::active);
    environment_.network.notify_delivered(requests_[index].end, *this,
                                          token(delivered, notifications_.size() - 1));
}

void FakeDiscovery::on_event(std::uint64_t event) {
    const auto kind = static_cast<Kind>(event >> 56);
    const auto index = static_cast<std::uint32_t>(event);
    switch (kind) {
        case answer_request:
            return answer(index);
        case keepalive:
            for (std::uint32_t i = 0; i < requests_.size(); ++i)
                if (may_send_to(requests_[i]) && requests_[i].answered) write_chunk(i, "");
            return environment_.events.schedule(environment_.now() + keepalive_interval, *this, event);
        case change_due: {
            const Change& change = pending_changes_[index];
            list_[change.server] = change.entry;
            changed_[change.server] = ++revision_;
            environment_.note("discovery change", change.server,
                              static_cast<std::uint64_t>(change.entry.phase), change.entry.id);
            environment_.execution_log.endpoint_state_published(
                change.server, change.entry.phase == DiscoveryEntry::Phase::active);
            const int corrupt = std::exchange(corrupt_, 0);
            for (std::uint32_t i = 0; i < requests_.size(); ++i) {
                if (!may_send_to(requests_[i]) || !requests_[i].answered) continue;
                if (corrupt == 1)
                    write_chunk(i, "{\"revision\":");  // the node drops the watch and opens a new one
                if (corrupt == 1) continue;
                std::string text = list_json(requests_[i].node, false, {change.server});
                if (corrupt == 2)
                    text.insert(text.find('[') + 1,
                                R"({"host_port":"10.77.0.9:8443","phase":"in_service"},)");
                if (corrupt == 3) write_chunk(i, R"({"revision":1,"complete":true,"members":[]})");
                write_chunk(i, text);
                notify(i, {change.server});
            }
            return;
        }
        case delivered:
            for (const auto& [server, active] : notifications_[index].servers)
                environment_.execution_log.endpoint_state_delivered(notifications_[index].node, server,
                                                                    active);
            return;
        case retire_due:
            for (std::uint32_t i = 0; i < requests_.size(); ++i) close(i);
            return;
    }
}

}  // namespace lemonstair::fakes
