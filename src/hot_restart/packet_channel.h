// The line between the old process and the new one: packets with descriptors, in order, none lost while both
// live. It says nothing by itself.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"

namespace lemonstair::hot_restart {

class PacketChannel final : public net::EventHandler {
  public:
    class Hearer {
      public:
        Hearer() = default;
        Hearer(const Hearer&) = delete;
        Hearer& operator=(const Hearer&) = delete;
        virtual ~Hearer() = default;
        virtual void heard(std::string_view packet, std::vector<net::Fd>& descriptors) = 0;
        virtual void broken() = 0;
        // Another process calls; whether the line is to be its.
        virtual bool takes_call() = 0;
    };
    PacketChannel(net::EventLoop& loop, Hearer& hearer, std::string name, std::string refusal)
        : loop_(loop), hearer_(hearer), name_(std::move(name)), refusal_(std::move(refusal)) {}
    // Whether somebody listens there and the line stands.
    bool call();
    // Others may call from now on; false where the name cannot be had.
    bool listen();
    void stop_listening() { listener_.close(); }
    bool listens() const { return listener_.open(); }
    bool stands() const { return socket_.open(); }
    void send(std::string packet, std::vector<int> descriptors = {});
    void hang_up();
    std::size_t waiting() const { return waiting_.size(); }

    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t) override { listener_.set_events(POLLIN); }

  private:
    struct Word {
        std::string bytes;
        std::vector<int> descriptors;
    };
    void answer_call();
    void write();
    void read();
    net::EventLoop& loop_;
    Hearer& hearer_;
    std::string name_, refusal_;
    net::Socket listener_, socket_;
    std::deque<Word> waiting_;
    std::vector<char> room_;
    std::uint64_t lines_ = 0;  // that stood so far: the token of the one that does
};

}  // namespace lemonstair::hot_restart
