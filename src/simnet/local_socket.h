// What two processes of one machine share without the network: a listener that the platform holds for them,
// and packets that may hand over connections. Nothing of it is late or lost; a line whose process dies is
// over.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simnet/network.h"

namespace lemonstair::simnet {

// Who is woken when something has come, or the other side is gone.
class Neighbour {
  public:
    Neighbour() = default;
    Neighbour(const Neighbour&) = delete;
    Neighbour& operator=(const Neighbour&) = delete;
    virtual ~Neighbour() = default;
    virtual void stirred_nearby() = 0;
};

// A listener that lives as long as its machine: each process that has it hears of each call.
class SharedListener final : public Ear {
  public:
    SharedListener(Network& network, const Address& at, std::size_t backlog) : at_(at) {
        network.listen(at, *this, backlog);
    }
    void add(Neighbour& one) { holders_.push_back(&one); }
    void remove(Neighbour& one) { std::erase(holders_, &one); }
    const Address& at() const { return at_; }
    void stirred(End) override {}
    void called(const Address&) override {
        for (Neighbour* one : holders_) one->stirred_nearby();
    }

  private:
    Address at_;
    std::vector<Neighbour*> holders_;
};

// The packets of one machine.
class Nearby final : public Ear {
  public:
    explicit Nearby(Network& network) : network_(network) {}
    static constexpr std::uint32_t none = 0xffffffffU;
    struct Packet {
        std::string bytes;
        std::vector<End> ends;
    };
    // Takes the name from whoever has it.
    void listen(const std::string& name, Neighbour& who) { doors_[name] = {&who, {}}; }
    void unlisten(const std::string& name, Neighbour& who);
    // A line; none where nobody listens.
    std::uint32_t connect(const std::string& name, Neighbour& who);
    bool called(const std::string& name, Neighbour& who) const;
    std::uint32_t accept(const std::string& name, Neighbour& who);
    // Side 0 is who connected.
    void send(std::uint32_t line, int side, std::string_view bytes, const std::vector<End>& ends);
    bool has_packet(std::uint32_t line, int side) const { return !lines_[line].to[side].empty(); }
    bool over(std::uint32_t line, int side) const { return !lines_[line].open[1 - side]; }
    Packet receive(std::uint32_t line, int side, Ear& owner);
    void close(std::uint32_t line, int side);

    void stirred(End) override {}
    void called(const Address&) override {}

  private:
    struct Door {
        Neighbour* who = nullptr;
        std::deque<std::uint32_t> calls;
    };
    struct Line {
        Neighbour* who[2] = {nullptr, nullptr};
        bool open[2] = {true, true};
        std::deque<Packet> to[2];
    };
    void stir(const Line& line, int side) {
        if (line.who[side] != nullptr && line.open[side]) line.who[side]->stirred_nearby();
    }
    void drop(std::deque<Packet>& packets);
    Network& network_;
    std::map<std::string, Door> doors_;
    std::deque<Line> lines_;
};

}  // namespace lemonstair::simnet
