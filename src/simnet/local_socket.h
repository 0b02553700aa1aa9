// What two processes of one machine share without the network: a listener that the platform holds for them,
// and local packet sockets that may pass connections. Nothing of it is late or lost.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simnet/network.h"

namespace lemonstair::simnet {

// Woken when a packet or connection has arrived, or the other side has closed.
class LocalSocketListener {
  public:
    LocalSocketListener() = default;
    LocalSocketListener(const LocalSocketListener&) = delete;
    LocalSocketListener& operator=(const LocalSocketListener&) = delete;
    virtual ~LocalSocketListener() = default;
    virtual void on_local_event() = 0;
};

// Listener that lives as long as its machine; each process that holds it is woken for each connection.
class SharedListener final : public StreamListener {
  public:
    SharedListener(Network& network, const Address& at, std::size_t backlog) : at_(at) {
        network.listen(at, *this, backlog);
    }
    void add(LocalSocketListener& one) { holders_.push_back(&one); }
    void remove(LocalSocketListener& one) { std::erase(holders_, &one); }
    const Address& at() const { return at_; }
    void on_stream_event(End) override {}
    void on_connection(const Address&) override {
        for (LocalSocketListener* one : holders_) one->on_local_event();
    }

  private:
    Address at_;
    std::vector<LocalSocketListener*> holders_;
};

// One machine's local packet sockets.
class LocalSockets final : public StreamListener {
  public:
    explicit LocalSockets(Network& network) : network_(network) {}
    static constexpr std::uint32_t none = 0xffffffffU;
    struct Packet {
        std::string bytes;
        std::vector<End> ends;
    };
    // Takes over a name that is in use.
    void listen(const std::string& name, LocalSocketListener& who) { listeners_[name] = {&who, {}}; }
    void unlisten(const std::string& name, LocalSocketListener& who);
    // A line; none where nobody listens.
    std::uint32_t connect(const std::string& name, LocalSocketListener& who);
    bool called(const std::string& name, LocalSocketListener& who) const;
    std::uint32_t accept(const std::string& name, LocalSocketListener& who);
    // Side 0 is who connected.
    void send(std::uint32_t line, int side, std::string_view bytes, const std::vector<End>& ends);
    bool has_packet(std::uint32_t line, int side) const { return !lines_[line].to[side].empty(); }
    bool over(std::uint32_t line, int side) const { return !lines_[line].open[1 - side]; }
    Packet receive(std::uint32_t line, int side, StreamListener& owner);
    void close(std::uint32_t line, int side);

    void on_stream_event(End) override {}
    void on_connection(const Address&) override {}

  private:
    struct Listener {
        LocalSocketListener* who = nullptr;
        std::deque<std::uint32_t> calls;
    };
    struct Line {
        LocalSocketListener* who[2] = {nullptr, nullptr};
        bool open[2] = {true, true};
        std::deque<Packet> to[2];
    };
    void notify_owner(const Line& line, int side) {
        if (line.who[side] != nullptr && line.open[side]) line.who[side]->on_local_event();
    }
    void drop(std::deque<Packet>& packets);
    Network& network_;
    std::map<std::string, Listener> listeners_;
    std::deque<Line> lines_;
};

}  // namespace lemonstair::simnet
