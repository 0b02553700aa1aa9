#include "fakes/discovery.h"

#include <array>
#include <cstdio>
#include <utility>

namespace lemonstair::fakes {

namespace {

constexpr Ticks sign_every = 20000;

std::string_view name_of(Listed::Phase p) {
    switch (p) {
        case Listed::Phase::active:
            return "in_service";
        case Listed::Phase::terminating:
            return "terminating";
        case Listed::Phase::terminated:
            return "terminated";
    }
    return "";
}

}  // namespace

std::string member_json(const Listed& l, const net::Address& at) {
    char text[320];
    std::snprintf(text, sizeof text,
                  R"({"id":"%s","host_port":"%s","locality":"%s","cell":%u,"phase":"%.*s","size":%.2f,)"
                  R"("up_since_ms":%lld})",
                  l.id.c_str(), net::address_text(at).c_str(), l.zone.c_str(), l.cell,
                  static_cast<int>(name_of(l.phase).size()), name_of(l.phase).data(), l.size,
                  static_cast<long long>(l.up_since_ms));
    return text;
}

void Roster::open(std::vector<Listed> list) {
    list_ = std::move(list);
    changed_.assign(list_.size(), revision_);
    town_.network.listen(address(), *this, 256);
    if (!signs_) town_.events.schedule(town_.now() + sign_every, *this, token(sign, 0));
    signs_ = true;
}

void Roster::change(std::uint32_t host, const Listed& entry, Ticks after) {
    coming_.push_back({host, entry});
    town_.events.schedule(town_.now() + after, *this, token(change_comes, coming_.size() - 1));
}

void Roster::down(bool on) {
    if (down_ == on) return;
    down_ = on;
    town_.note("discovery down", port_, on ? 1 : 0);
    if (!on) return town_.network.listen(address(), *this, 256);
    town_.network.unlisten(address());
    for (std::uint32_t at = 0; at < calls_.size(); ++at)
        if (!calls_[at].over) {
            town_.network.reset(calls_[at].end);
            calls_[at].over = true;
        }
}

void Roster::silent(bool on) {
    silent_ = on;
    town_.note("discovery silent", port_, on ? 1 : 0);
    if (on) return;
    // What was cut off stays so: those that watched must call again.
    for (Call& c : calls_)
        if (!c.over) town_.network.reset(c.end), c.over = true;
}

void Roster::begin_anew(std::uint64_t revision) {
    revision_ = revision;
    changed_.assign(list_.size(), revision);
    for (std::uint32_t at = 0; at < calls_.size(); ++at) end(at);
}

void Roster::retire(Ticks after) {
    town_.network.unlisten(address());
    down_ = true;
    town_.events.schedule(town_.now() + after, *this, token(retires, 0));
}

void Roster::end(std::uint32_t at) {
    if (calls_[at].over) return;
    calls_[at].over = true;
    town_.network.close(calls_[at].end);
}

void Roster::on_connection(const net::Address& at) {
    while (const auto e = town_.network.accept(at)) {
        town_.network.own(*e, *this);
        by_end_[e->number()] = static_cast<std::uint32_t>(calls_.size());
        calls_.emplace_back();
        calls_.back().end = *e;
        calls_.back().node = town_.network.machine_of(e->other());
        on_stream_event(*e);
    }
}

void Roster::on_stream_event(End e) {
    const auto it = by_end_.find(e.number());
    if (it == by_end_.end() || calls_[it->second].over) return;
    const std::uint32_t at = it->second;
    std::array<char, 2048> bytes;
    for (;;) {
        Call& c = calls_[at];
        const auto got = town_.network.read(e, bytes, true);
        if (got.ended || got.error != 0) return end(at);
        if (got.bytes == 0) return;
        c.reader.feed({bytes.data(), got.bytes}, [&](std::string_view line) {
            if (line.substr(0, 4) == "GET ") {
                const auto from = line.find("index=");
                if (from != std::string_view::npos) {
                    std::string_view rest = line.substr(from + 6);
                    read_whole(next_word(rest), c.index);
                }
                c.asked = true;
            }
            if (line.empty() && c.asked && !c.watches) {
                c.watches = true;
                town_.events.schedule(town_.now() + answer_after_, *this, token(answer_call, at));
            }
            return true;
        });
    }
}

std::string Roster::list_json(Machine node, bool whole, const std::vector<std::uint32_t>& hosts) const {
    std::string text = "{\"revision\":" + std::to_string(revision_) +
                       ",\"complete\":" + (whole ? "true" : "false") + ",\"members\":[";
    bool first = true;
    for (const std::uint32_t h : hosts) {
        text += first ? "" : ",";
        text += member_json(list_[h], town_.network.seen_by(node, list_[h].at));
        first = false;
    }
    return text + "]}";
}

void Roster::write_chunk(std::uint32_t at, std::string_view line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    town_.network.write(calls_[at].end, std::string(size).append(line).append("\n\r\n"), true);
}

void Roster::answer(std::uint32_t at) {
    Call& c = calls_[at];
    if (c.over || silent_) return;
    town_.network.write(c.end, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true);
    if (c.index == revision_) return write_chunk(at, "");
    // After a number that this service never gave, the whole list.
    const bool whole = c.index == 0 || c.index > revision_;
    std::vector<std::uint32_t> hosts;
    for (std::uint32_t h = 0; h < list_.size(); ++h)
        if (whole ? list_[h].phase != Listed::Phase::terminated : changed_[h] > c.index) hosts.push_back(h);
    write_chunk(at, list_json(c.node, whole, hosts));
    tell(at, hosts);
}

// The witness hears of it when it has come to the node's machine.
void Roster::tell(std::uint32_t at, const std::vector<std::uint32_t>& hosts) {
    told_.push_back({calls_[at].node, {}});
    for (const std::uint32_t h : hosts)
        told_.back().hosts.emplace_back(h, list_[h].phase == Listed::Phase::active);
    town_.network.tell_delivered(calls_[at].end, *this, token(delivered, told_.size() - 1));
}

void Roster::on_event(std::uint64_t what) {
    const auto kind = static_cast<Kind>(what >> 56);
    const auto at = static_cast<std::uint32_t>(what);
    switch (kind) {
        case answer_call:
            return answer(at);
        case sign:
            for (std::uint32_t i = 0; i < calls_.size(); ++i)
                if (!calls_[i].over && calls_[i].watches && !silent_) write_chunk(i, "");
            return town_.events.schedule(town_.now() + sign_every, *this, what);
        case change_comes: {
            const Change& c = coming_[at];
            list_[c.host] = c.entry;
            changed_[c.host] = ++revision_;
            town_.note("discovery says", c.host, static_cast<std::uint64_t>(c.entry.phase), c.entry.id);
            const int spoil = std::exchange(spoil_, 0);
            for (std::uint32_t i = 0; i < calls_.size(); ++i) {
                if (calls_[i].over || !calls_[i].watches || silent_) continue;
                if (spoil == 1) write_chunk(i, "{\"revision\":");  // the watch is given up, and comes back
                if (spoil == 1) continue;
                std::string text = list_json(calls_[i].node, false, {c.host});
                if (spoil == 2)
                    text.insert(text.find('[') + 1,
                                R"({"host_port":"10.77.0.9:8443","phase":"in_service"},)");
                if (spoil == 3) write_chunk(i, R"({"revision":1,"complete":true,"members":[]})");
                write_chunk(i, text);
                tell(i, {c.host});
            }
            return;
        }
        case delivered:
            for (const auto& [host, active] : told_[at].hosts)
                town_.witness.told(told_[at].node, host, active);
            return;
        case retires:
            for (std::uint32_t i = 0; i < calls_.size(); ++i) end(i);
            return;
    }
}

}  // namespace lemonstair::fakes
