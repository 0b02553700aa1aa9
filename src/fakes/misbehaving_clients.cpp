#include "fakes/misbehaving_clients.h"

#include <array>
#include <cstdio>

namespace lemonstair::fakes {

namespace {

constexpr Ticks answer_timeout = 30000;

}  // namespace

std::string MisbehavingClients::opening_bytes(Kind kind) {
    char text[96];
    std::snprintf(text, sizeof text, "OPEN r%llx k", static_cast<unsigned long long>(random_.bits()));
    std::string open = text;
    switch (kind) {
        case Kind::garbage:
            return "\x01\x02 frob \xff\r\n";
        case Kind::endless:
            return std::string(6000, 'x');
        case Kind::half:
            return open;
        case Kind::twice:
            return open + " c=chat,d=2000\r\n" + open + " c=chat,d=2000\r\n";
        case Kind::no_profile:
            return open + " c=nobody,d=2000\r\n";
        case Kind::bad_wait:
            return open + " c=chat,d=-1e99\r\n";
        case Kind::pings: {
            std::string all;
            for (int i = 0; i < 60; ++i) all += "PING\r\n";
            return all;
        }
        case Kind::silent:
            return "";
        case Kind::again:
            return open + "\r\n";
        case Kind::copy:  // see connect()
            break;
    }
    return "";
}

void MisbehavingClients::start(int how_many, Kind kind, bool again) {
    for (int i = 0; i < how_many; ++i) connect(kind, again);
}

void MisbehavingClients::connect(Kind kind, bool again) {
    std::uint32_t node = front_.pick();
    std::string opening = opening_bytes(kind);
    if (kind == Kind::copy) {
        const auto request = clients_.random_pending_request(random_);
        node = request.line.empty() ? Front::none : request.node;
        opening = request.line;
    }
    if (node == Front::none || stopped_) return;
    const auto index = static_cast<std::uint32_t>(connections_.size());
    connections_.push_back({environment_.network.connect(machine_, front_.address(node), *this), kind, false,
                            false, again, node, opening, opening});
    by_end_[connections_[index].end.number()] = index;
}

void MisbehavingClients::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end() || connections_[it->second].over) return;
    const std::uint32_t index = it->second;
    if (environment_.network.is_up(end) && !connections_[index].sent) {
        connections_[index].sent = true;
        environment_.events.schedule(environment_.now() + answer_timeout, *this, index);
    }
    if (connections_[index].sent && !connections_[index].unsent.empty())
        write_unsent(environment_.network, end, connections_[index].unsent);
    std::array<char, 512> bytes;
    for (;;) {
        const auto got = environment_.network.read(end, bytes, true);
        const std::string_view text(bytes.data(), got.bytes);
        if (text.find("UP ") != std::string_view::npos) {
            report_served(connections_[index], text);
            if (connections_[index].kind == Kind::copy) return this->end(index);
        }
        if (got.ended || got.error != 0 || text.find("ERR") != std::string_view::npos ||
            text.find("BUSY") != std::string_view::npos)
            return this->end(index);
        if (got.bytes == 0) return;
    }
}

// A copy is a valid request if the other client's request has ended meanwhile without a tunnel.
void MisbehavingClients::report_served(const Connection& connection, std::string_view text) {
    if (connection.kind == Kind::copy && !clients_.is_current(connection.opening)) return;
    environment_.execution_log.line_corrupted(0, "a misbehaving client was answered with UP",
                                              text.substr(0, 40));
}

void MisbehavingClients::end(std::uint32_t index) {
    Connection& connection = connections_[index];
    if (connection.over) return;
    connection.over = true;
    environment_.network.close(connection.end);
    if (connection.again) connect(connection.kind, random_.odds(0.7));
}

void MisbehavingClients::on_event(std::uint64_t index) {
    Connection& connection = connections_[index];
    if (connection.over) return;
    connection.over = true;
    environment_.network.close(connection.end);
    environment_.execution_log.misbehaving_client_unanswered(
        connection.node, "neither an answer nor an end of the connection");
}

void MisbehavingClients::stop_all() {
    stopped_ = true;
    for (std::uint32_t index = 0; index < connections_.size(); ++index) {
        if (connections_[index].over) continue;
        connections_[index].over = true;
        environment_.network.close(connections_[index].end);
    }
}

}  // namespace lemonstair::fakes
