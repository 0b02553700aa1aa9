// Stand-in of those who operate nodes: each call is one HTTP request on a connection of its own. What is said
// of them (whether an answer was due, and true) is the asker's.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "fakes/environment.h"

namespace lemonstair::fakes {

class Operators final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    struct Answer {
        int status = 0;  // 0: none, or none that could be read, within a second
        std::string body;
        Ticks took = 0;
    };
    using Told = std::function<void(const Answer&)>;
    Operators(TestEnvironment& town, Machine machine) : town_(town), machine_(machine) {}
    void call(const net::Address& at, std::string request, Told told);
    // Callers who say nothing, or half a call, and stay for four seconds.
    void come_and_stay(const net::Address& at, int how_many);

    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct One {
        End end;
        std::string waiting, got;
        Told told;
        Ticks began = 0;
        bool stays = false;
    };
    void over(std::uint64_t number, bool whole);
    TestEnvironment& town_;
    Machine machine_;
    std::unordered_map<std::uint64_t, One> ones_;  // by their end's number
};

}  // namespace lemonstair::fakes
