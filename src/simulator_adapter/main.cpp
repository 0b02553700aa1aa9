// The adapter between the bench's wire and the Balancer: JSON lines in, JSON lines out, one Balancer for each
// instance. It decides nothing. Times are rounded to the safe side: the clock and spans up, deadlines down.
#include <unistd.h>

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "balance/balance.h"
#include "config/settings.h"
#include "json/json.h"

namespace {

using lemonstair::Balancer;
using lemonstair::Ending;
using lemonstair::Tenths;
using lemonstair::config::figure;
using lemonstair::config::pick;
using lemonstair::config::up;
using lemonstair::json::Malformed;
using lemonstair::json::Value;

// The one reply buffer, reused from batch to batch.
class Reply {
  public:
    Reply& raw(std::string_view s) {
        text_.append(s);
        return *this;
    }
    Reply& whole(std::uint64_t n) {
        std::array<char, 24> digits;
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), n).ptr;
        text_.append(digits.data(), end);
        return *this;
    }
    Reply& seconds(Tenths t) {
        if (t < 0) t = 0;
        whole(static_cast<std::uint64_t>(t / 10000)).raw(".");
        const auto part = static_cast<unsigned>(t % 10000);
        for (unsigned unit = 1000; unit > 0; unit /= 10)
            text_.push_back(static_cast<char>('0' + part / unit % 10));
        return *this;
    }
    Reply& quoted(std::string_view s) {
        text_.push_back('"');
        for (const char c : s) {
            if (c == '"' || c == '\\') text_.push_back('\\');
            text_.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
        }
        text_.push_back('"');
        return *this;
    }
    Reply& hex(std::span<const std::uint8_t> bytes) {
        constexpr std::string_view digits = "0123456789abcdef";
        text_.push_back('"');
        for (const auto b : bytes) (text_ += digits[b >> 4]) += digits[b & 15];
        text_.push_back('"');
        return *this;
    }
    void flush() {
        for (std::size_t sent = 0; sent < text_.size();) {
            const ssize_t n = ::write(STDOUT_FILENO, text_.data() + sent, text_.size() - sent);
            if (n <= 0) throw std::runtime_error("standard output is closed");
            sent += static_cast<std::size_t>(n);
        }
        text_.clear();
    }

  private:
    std::string text_;
};

// The Host of one instance: every action becomes a line of the reply.
class Instance final : public lemonstair::Host {
  public:
    Instance(std::uint64_t who, Reply& out) : who_(who), out_(out) {}
    void set_up(std::uint64_t tun, std::uint32_t ep, Tenths max_wait) override {
        open("CallOut").raw(",\"ticket\":").whole(tun).raw(",\"host\":").whole(ep);
        out_.raw(",\"max_wait\":").seconds(max_wait).raw("}}\n");
    }
    void decline(std::uint64_t tun, Tenths come_back_after) override {
        open("SayNo").raw(",\"ticket\":").whole(tun);
        if (come_back_after > 0) out_.raw(",\"not_before_for\":").seconds(come_back_after);
        out_.raw("}}\n");
    }
    void close_with_error(std::uint64_t tun) override { one("Surrender", "ticket", tun); }
    void move(std::uint64_t tun) override { one("Reassign", "ticket", tun); }
    void probe(std::uint32_t ep) override { one("Touch", "host", ep); }
    void watch_list() override { open("StreamChanges").raw(",\"active\":true}}\n"); }
    void wake(Tenths at, std::uint64_t label) override {
        open("WakeMe").raw(",\"at\":").seconds(at).raw(",\"label\":\"").whole(label).raw("\"}}\n");
    }
    void tell(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        open("Notify").raw(",\"to\":").whole(node).raw(",\"raw\":").hex(bytes).raw("}}\n");
    }
    void tell_all(std::span<const std::uint8_t> bytes) override {
        open("Notify").raw(",\"to\":\"all\",\"raw\":").hex(bytes).raw("}}\n");
    }
    void log(std::string_view line) override { open("SayLog").raw(",\"what\":").quoted(line).raw("}}\n"); }

    std::unique_ptr<Balancer> balancer;
    std::size_t profiles = 0;

  private:
    Reply& open(std::string_view name) { return out_.raw("{\"").raw(name).raw("\":{\"who\":").whole(who_); }
    void one(std::string_view name, std::string_view field, std::uint64_t value) {
        open(name).raw(",\"").raw(field).raw("\":").whole(value).raw("}}\n");
    }
    std::uint64_t who_;
    Reply& out_;
};

lemonstair::Report read_report(const Value& f) {
    lemonstair::Report report;
    f.inner("health_info").fields([&](std::string_view name, const Value& value) {
        if (double* at = figure(report, name)) *at = value.as_number();
    });
    return report;
}

Ending read_ending(const Value& f) {
    return pick<Ending>(f.text("state_code"),
                        {{"OK", Ending::ok},
                         {"INTERNAL", Ending::error},
                         {"RESOURCE_EXHAUSTED", Ending::full},
                         {"DEADLINE_EXCEEDED", Ending::timed_out},
                         {"UNAVAILABLE", Ending::unreachable},
                         {"ABORTED", Ending::broken},
                         {"CANCELLED", Ending::called_off},
                         {"TOO_LATE", Ending::not_sent}},
                        "state_code");
}

class Adapter {
  public:
    // Takes one line of input; true once a batch has been answered.
    void line(const char* text, std::size_t length) {
        if (!message_.parse({text, length})) throw Malformed("not JSON");
        int keys = 0;
        Value body;
        message_.root().fields([&](std::string_view name, const Value& value) {
            ++keys;
            name_.assign(name);
            body = value;
        });
        if (keys != 1) throw Malformed("a message is an object with one key");
        if (body.type() != lemonstair::json::Type::object)
            throw Malformed("a message's fields are an object");
        event(name_, body.told_as(name_.c_str()));
    }
    bool in_batch() const { return in_batch_; }

  private:
    void event(const std::string& name, const Value& f) {
        if (name == "Batch") {
            if (in_batch_) throw Malformed("Batch within a batch");
            in_batch_ = true;
            now_ = up(f.number("ts"));
            return;
        }
        if (!in_batch_) throw Malformed(name + " outside a batch");
        if (name == "Go") {
            in_batch_ = false;
            out_.raw("{\"Eor\":{}}\n").flush();
            return;
        }
        const std::uint64_t who = f.whole("who");
        if (name == "Enlist") return enlist(who, f);
        if (who >= instances_.size() || !instances_[who])
            throw Malformed(name + ": instance " + std::to_string(who) + " was never enlisted");
        if (name == "Stop") return instances_[who].reset();
        Balancer& b = *instances_[who]->balancer;
        b.at(now_);
        if (name == "Interim")
            interim(b, f);
        else if (name == "Reply")
            b.ended(f.whole("ticket"), static_cast<int>(f.small("hop")), f.small("host"), read_ending(f),
                    up(f.number("duration", 0)), f.flag("settled"));
        else if (name == "CheckResult")
            b.probed(f.small("host"), read_ending(f), up(f.number("duration", 0)), read_report(f));
        else if (name == "TimeoutFired")
            woken(b, f.text("label"));
        else if (name == "Peer")
            told(b, f);
        else if (name == "Incoming")
            b.arrive(f.whole("ticket"), arrival(who, f));
        else if (name == "Flowing")
            b.begun(f.whole("ticket"), static_cast<int>(f.small("hop")), f.small("host"),
                    up(f.number("duration", 0)));
        else if (name == "Fleet")
            fleet(b, f);
        else if (name == "ClientLeft")
            b.client_left(f.whole("ticket"));
        else if (name == "Open")
            b.adopt(f.whole("ticket"), arrival(who, f), f.small("host"));
        else
            throw Malformed("event '" + name + "' is unknown");
    }
    void enlist(std::uint64_t who, const Value& f) {
        if (who > 1000000) throw Malformed("Enlist: field 'who' is too large");
        if (who >= instances_.size()) instances_.resize(who + 1);
        auto instance = std::make_unique<Instance>(who, out_);
        if (!f.has("setup")) throw Malformed("Enlist: field 'setup' is missing");
        auto terms = lemonstair::config::read_terms(f.inner("setup"), f.whole("salt"));
        instance->profiles = terms.profiles.size();
        instance->balancer = Balancer::start(std::move(terms), *instance, now_);
        instances_[who] = std::move(instance);
    }
    static void interim(Balancer& b, const Value& f) {
        const auto what = f.whole("what");
        if (what == 1) b.load_changed(f.whole("ticket"), f.number("amount") / 1e6);
        if (what == 2) b.messages_slow(f.whole("ticket"), f.small("host"), up(f.number("amount") / 1e3));
    }
    static void woken(Balancer& b, std::string_view label) {
        std::uint64_t number = 0;
        const auto end = label.data() + label.size();
        if (std::from_chars(label.data(), end, number).ptr != end)
            throw Malformed("TimeoutFired: label was not set by this adapter");
        b.woken(number);
    }
    static void told(Balancer& b, const Value& f) {
        const auto text = f.text("raw");
        if (text.size() % 2 != 0) throw Malformed("Peer: field 'raw' is not hex digits");
        std::array<std::uint8_t, 4096> bytes{};
        const std::size_t n = std::min(text.size() / 2, bytes.size());
        for (std::size_t i = 0; i < n; ++i) {
            const char* p = text.data() + 2 * i;
            if (std::from_chars(p, p + 2, bytes[i], 16).ptr != p + 2)
                throw Malformed("Peer: field 'raw' is not hex digits");
        }
        b.told(f.small("src"), {bytes.data(), n});
    }
    lemonstair::Arrival arrival(std::uint64_t who, const Value& f) {
        if (f.whole("qos") >= instances_[who]->profiles) throw Malformed("field 'qos' names no profile");
        const auto bits = f.whole("bitmap", 0);
        return {.key = f.text("path_key", ""),
                .group = f.text("room", ""),
                .give_up_at = lemonstair::config::down(f.number("valid_until")),
                .load = (bits & 1) != 0 ? f.number("expected", 0) : 0,
                .profile = f.small("qos"),
                .mid_flow = (bits & 8) != 0,
                .again = (bits & 16) != 0};
    }
    static void fleet(Balancer& b, const Value& f) {
        using lemonstair::Life, lemonstair::ListKind;
        b.list_begin(pick<ListKind>(f.text("kind"),
                                    {{"D", ListKind::changes},
                                     {"F", ListKind::whole},
                                     {"C", ListKind::remembered},
                                     {"X", ListKind::failed}},
                                    "kind"));
        f.each("members_list", [&](const Value& m) {
            b.listed(m.small("host"), m.small("site", 0), m.small("cohort", 0),
                     pick<Life>(m.text("lifecycle"),
                                {{"in_service", Life::in_service},
                                 {"terminating", Life::draining},
                                 {"terminated", Life::gone}},
                                "lifecycle"),
                     m.number("nominal", 1), up(m.number("online_since", 0)));
        });
        b.list_end();
    }

    lemonstair::json::Document message_;
    Reply out_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::string name_;
    Tenths now_ = 0;
    bool in_batch_ = false;
};

int serve() {
    Adapter adapter;
    std::vector<char> buffer(1 << 20);
    std::size_t begin = 0, end = 0;
    std::size_t number = 0;
    try {
        for (;;) {
            const char* start = buffer.data() + begin;
            const auto* stop = static_cast<const char*>(std::memchr(start, '\n', end - begin));
            if (stop != nullptr) {
                ++number;
                if (stop != start) adapter.line(start, static_cast<std::size_t>(stop - start));
                begin = static_cast<std::size_t>(stop + 1 - buffer.data());
                continue;
            }
            std::memmove(buffer.data(), start, end - begin);
            end -= begin;
            begin = 0;
            if (buffer.size() - end < (1 << 16)) buffer.resize(buffer.size() * 2);
            const ssize_t n = ::read(STDIN_FILENO, buffer.data() + end, buffer.size() - end);
            if (n < 0) throw std::runtime_error("standard input cannot be read");
            if (n == 0) break;
            end += static_cast<std::size_t>(n);
        }
        if (end > 0) throw Malformed("input ends within a line");
        if (adapter.in_batch()) throw Malformed("input ends within a batch");
    } catch (const std::exception& e) {
        std::fprintf(stderr, "lemonstair_simulator_adapter: line %zu: %s\n", number, e.what());
        return 1;
    }
    return 0;
}

}  // namespace

int main() { return serve(); }
