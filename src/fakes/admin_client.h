// Fake of the operators: each call is one HTTP request on a connection of its own. Whether an answer was due
// and true is for the caller to judge.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "fakes/environment.h"

namespace lemonstair::fakes {

class AdminClient final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    struct Answer {
        int status = 0;  // 0: none, or none that could be read, within a second
        std::string body;
        Ticks took = 0;
    };
    using Callback = std::function<void(const Answer&)>;
    AdminClient(TestEnvironment& environment, Machine machine)
        : environment_(environment), machine_(machine) {}
    // `callback` gets the answer, or status 0 after a second. `request`: the whole HTTP request.
    void call(const net::Address& at, std::string request, Callback callback);
    // Connections that send nothing, or half a request, and stay open for four seconds.
    void open_idle(const net::Address& at, int how_many);

    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct Request {
        End end;
        std::string waiting, got;
        Callback callback;
        Ticks began = 0;
        bool stays = false;
    };
    void finish(std::uint64_t number, bool complete);
    TestEnvironment& environment_;
    Machine machine_;
    std::unordered_map<std::uint64_t, Request> requests_;  // by their end's number
};

}  // namespace lemonstair::fakes
