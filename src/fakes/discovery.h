// A stand-in of the platform's discovery: lists and watches over HTTP/1.1, late, down, silent or wrong on
// demand.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/environment.h"
#include "fakes/server.h"
#include "simnet/random_source.h"

namespace lemonstair::fakes {

// What the list says of a host, kept once for all services that tell it.
struct Listed {
    std::string id, zone;
    std::uint32_t cell = 0;
    net::Address at;
    double size = 1;
    std::int64_t up_since_ms = 0;
    enum class Phase : std::uint8_t { active, terminating, terminated } phase = Phase::active;
};

// As the one who sees the host at this address is told.
std::string member_json(const Listed& l, const net::Address& at);

class Roster final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    Roster(TestEnvironment& town, Machine machine, std::uint16_t port, std::uint64_t first_revision,
           simnet::RandomSource chance)
        : town_(town), machine_(machine), port_(port), revision_(first_revision), chance_(chance) {}
    // The list it begins with.
    void open(std::vector<Listed> list);
    net::Address address() const { return town_.network.place(machine_, port_); }
    std::uint64_t revision() const { return revision_; }
    // A host's entry has changed; watches are told after a while.
    void change(std::uint32_t host, const Listed& entry, Ticks after);

    // ---- faults
    void down(bool on);    // calls are refused, watches end
    void silent(bool on);  // calls are taken and watches stand, and nothing is said
    void answer_after(Ticks span) { answer_after_ = span; }
    void spoil_next(int kind) { spoil_ = kind; }  // 1: no list; 2: an entry without id; 3: an old list
    void begin_anew(std::uint64_t revision);
    // Takes no new call; those that stand end after a while.
    void retire(Ticks after);

    void on_stream_event(End end) override;
    void on_connection(const net::Address& at) override;
    void on_event(std::uint64_t token) override;

  private:
    struct Call {
        End end;
        LineReader reader;
        std::uint64_t index = 0;
        bool asked = false, watches = false, over = false;
        Machine node = 0;
    };
    enum Kind : std::uint64_t { answer_call, sign, change_comes, delivered, retires };
    std::uint64_t token(Kind kind, std::uint64_t at) const { return std::uint64_t{kind} << 56 | at; }
    std::string list_json(Machine node, bool whole, const std::vector<std::uint32_t>& hosts) const;
    void write_chunk(std::uint32_t at, std::string_view line);
    void tell(std::uint32_t at, const std::vector<std::uint32_t>& hosts);
    void end(std::uint32_t at);
    void answer(std::uint32_t at);

    TestEnvironment& town_;
    Machine machine_;
    std::uint16_t port_;
    std::uint64_t revision_;
    simnet::RandomSource chance_;
    std::vector<Listed> list_;
    std::vector<std::uint64_t> changed_;  // by host: the revision of its last change
    std::vector<Call> calls_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    struct Change {
        std::uint32_t host;
        Listed entry;
    };
    std::vector<Change> coming_;
    struct Told {
        Machine node;
        std::vector<std::pair<std::uint32_t, bool>> hosts;  // and whether each is in service
    };
    std::vector<Told> told_;  // words under way
    Ticks answer_after_ = 5;
    int spoil_ = 0;
    bool down_ = false, silent_ = false, signs_ = false;
};

}  // namespace lemonstair::fakes
