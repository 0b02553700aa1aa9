// What the processes of one simulated machine share without the network: a listening socket that the platform
// holds for them, and local packet sockets, over which connections can be handed over. Packets are neither
// delayed nor lost.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simnet/network.h"

namespace lemonstair::simnet {

// Is called when a packet or a connection has arrived, or when the other side has closed.
class LocalSocketListener {
  public:
    LocalSocketListener() = default;
    LocalSocketListener(const LocalSocketListener&) = delete;
    LocalSocketListener& operator=(const LocalSocketListener&) = delete;
    virtual ~LocalSocketListener() = default;
    virtual void on_local_event() = 0;
};

// Listening socket that lives as long as its machine. Each process that holds it is woken for each
// connection.
class SharedListener final : public StreamListener {
  public:
    SharedListener(Network& network, const Address& at, std::size_t backlog) : at_(at) {
        network.listen(at, *this, backlog);
    }
    void add(LocalSocketListener& holder) { holders_.push_back(&holder); }
    void remove(LocalSocketListener& holder) { std::erase(holders_, &holder); }
    const Address& at() const { return at_; }
    void on_stream_event(End) override {}
    void on_connection(const Address&) override {
        for (LocalSocketListener* holder : holders_) holder->on_local_event();
    }

  private:
    Address at_;
    std::vector<LocalSocketListener*> holders_;
};

// The local packet sockets of one machine. A connection is named by its number, and its ends by a side: 0 is
// the process that connected, 1 the one that accepted.
class LocalSockets final : public StreamListener {
  public:
    explicit LocalSockets(Network& network) : network_(network) {}
    static constexpr std::uint32_t none = 0xffffffffU;
    struct Packet {
        std::string bytes;
        std::vector<End> ends;
    };
    // Takes a name over if it is in use.
    void listen(const std::string& name, LocalSocketListener& who) { listeners_[name] = {&who, {}}; }
    void unlisten(const std::string& name, LocalSocketListener& who);
    // The number of the new connection; `none` if nobody listens at this name.
    std::uint32_t connect(const std::string& name, LocalSocketListener& who);
    bool has_pending(const std::string& name, LocalSocketListener& who) const;
    std::uint32_t accept(const std::string& name, LocalSocketListener& who);
    // Dropped without notice if the other side has closed. `ends` are the stream ends handed over with the
    // packet.
    void send(std::uint32_t connection, int side, std::string_view bytes, const std::vector<End>& ends);
    bool has_packet(std::uint32_t connection, int side) const {
        return !connections_[connection].inbox[side].empty();
    }
    bool peer_closed(std::uint32_t connection, int side) const {
        return !connections_[connection].open[1 - side];
    }
    Packet receive(std::uint32_t connection, int side, StreamListener& owner);
    void close(std::uint32_t connection, int side);

    void on_stream_event(End) override {}
    void on_connection(const Address&) override {}

  private:
    struct Listener {
        LocalSocketListener* who = nullptr;
        std::deque<std::uint32_t> pending;
    };
    struct Connection {
        LocalSocketListener* who[2] = {nullptr, nullptr};
        bool open[2] = {true, true};
        std::deque<Packet> inbox[2];
    };
    void notify_owner(const Connection& connection, int side) {
        if (connection.who[side] != nullptr && connection.open[side]) connection.who[side]->on_local_event();
    }
    void drop(std::deque<Packet>& packets);
    Network& network_;
    std::map<std::string, Listener> listeners_;
    std::deque<Connection> connections_;
};

}  // namespace lemonstair::simnet
