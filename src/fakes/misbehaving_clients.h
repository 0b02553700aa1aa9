// Fake clients that break the protocol or send nothing. A node must not keep resources for them.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/clients.h"
#include "fakes/front.h"

namespace lemonstair::fakes {

// Each client opens a connection, sends the bytes of its kind, and expects an error, BUSY or the end of the
// connection within 3 s.
class MisbehavingClients final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    MisbehavingClients(TestEnvironment& environment, Front& front, const FakeClients& clients,
                       Machine machine, simnet::RandomSource random)
        : environment_(environment), front_(front), clients_(clients), machine_(machine), random_(random) {}
    // What a client sends. garbage: a line that is no request; endless: many bytes without a line ending;
    // half: a first line without its end; twice: two first lines; no_profile: an unknown traffic class;
    // bad_wait: an invalid timeout; pings: many PING lines; silent: nothing; again: a first line without
    // parameters; copy: the request of another client that waits for its answer, at the same node.
    enum class Kind : std::uint8_t {
        garbage,
        endless,
        half,
        twice,
        no_profile,
        bad_wait,
        pings,
        silent,
        again,
        copy
    };
    // Scenario files may contain all kinds. Seeds draw the first ones only, since another number would change
    // the scenarios of all seeds.
    static constexpr int kinds = 10, drawn_kinds = 9;
    // again: a client whose connection has ended connects once more, and perhaps again after that.
    void start(int how_many, Kind kind, bool again);
    void stop_all();
    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct Connection {
        End end;
        Kind kind;
        bool sent = false, over = false, again = false;
        std::uint32_t node;
        std::string opening, unsent;
    };
    void connect(Kind kind, bool again);
    void end(std::uint32_t index);
    std::string opening_bytes(Kind kind);
    void report_served(const Connection& connection, std::string_view text);
    TestEnvironment& environment_;
    Front& front_;
    const FakeClients& clients_;
    Machine machine_;
    simnet::RandomSource random_;
    std::vector<Connection> connections_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    bool stopped_ = false;
};

}  // namespace lemonstair::fakes
