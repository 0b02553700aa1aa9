// Fake of the operators: each call is one HTTP request on a connection of its own. The caller judges whether
// an answer was due and correct.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "fakes/environment.h"

namespace lemonstair::fakes {

// Sends the requests from one machine, any number at the same time.
class AdminClient final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    struct Answer {
        int status = 0;  // HTTP status; 0: no valid answer within a second
        std::string body;
        Ticks took = 0;  // tenths of a ms
    };
    using Callback = std::function<void(const Answer&)>;
    AdminClient(TestEnvironment& environment, Machine machine)
        : environment_(environment), machine_(machine) {}
    // Sends `request`, a whole HTTP request. The callback is called once, with the answer or, after a second
    // without one, with status 0.
    void call(const net::Address& at, std::string request, Callback callback);
    // Opens connections that send nothing or a part of a request, and stay open for four seconds.
    void open_idle(const net::Address& at, int how_many);

    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct Request {
        End end;
        std::string unsent, received;
        Callback callback;
        Ticks began = 0;
        bool idle = false;
    };
    void finish(std::uint64_t number, bool complete);
    TestEnvironment& environment_;
    Machine machine_;
    std::unordered_map<std::uint64_t, Request> requests_;  // by their end's number
};

}  // namespace lemonstair::fakes
