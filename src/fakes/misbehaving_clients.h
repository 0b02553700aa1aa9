// Fakes of clients that break the protocol or say nothing; a node must not keep resources for them.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/front.h"

namespace lemonstair::fakes {

// Clients that no node need serve.
class Rude final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    Rude(TestEnvironment& town, Front& front, Machine machine, simnet::RandomSource chance)
        : town_(town), front_(front), machine_(machine), chance_(chance) {}
    enum class Kind : std::uint8_t {
        garbage,
        endless,
        half,
        twice,
        no_profile,
        bad_wait,
        pings,
        silent,
        again
    };
    static constexpr int kinds = 9;
    void come(int how_many, Kind kind, bool again);
    void go_home();
    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct One {
        End end;
        Kind kind;
        bool sent = false, over = false, again = false;
        std::uint32_t node;
        std::string waiting;
    };
    void call(Kind kind, bool again);
    void end(std::uint32_t at);
    std::string words(Kind kind);
    TestEnvironment& town_;
    Front& front_;
    Machine machine_;
    simnet::RandomSource chance_;
    std::vector<One> ones_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    bool home_ = false;
};

}  // namespace lemonstair::fakes
