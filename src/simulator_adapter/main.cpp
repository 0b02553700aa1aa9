// The adapter between a simulator's protocol and the Balancer: JSON lines in, JSON lines out, one Balancer an
// instance. It is the only place that knows the protocol's words, and decides nothing. Times are rounded to
// the safe side: the clock and durations up, deadlines down.
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
using lemonstair::Outcome;
using lemonstair::Ticks;
using lemonstair::config::decode_word;
using lemonstair::config::load_report_field;
using lemonstair::config::round_down_to_ticks;
using lemonstair::config::round_up_to_ticks;
using lemonstair::json::Malformed;
using lemonstair::json::Value;

// Writes the reply to a batch; its buffer is reused from batch to batch.
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
    Reply& seconds(Ticks t) {
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

// One balancer and its delegate, which writes every action as a line of the reply.
class Instance final : public lemonstair::BalancerDelegate {
  public:
    Instance(std::uint64_t who, Reply& out) : who_(who), out_(out) {}
    void start_attempt(std::uint64_t tunnel, std::uint32_t endpoint, Ticks max_wait) override {
        begin_action("CallOut").raw(",\"ticket\":").whole(tunnel).raw(",\"host\":").whole(endpoint);
        out_.raw(",\"max_wait\":").seconds(max_wait).raw("}}\n");
    }
    void reject(std::uint64_t tunnel, Ticks retry_after) override {
        begin_action("SayNo").raw(",\"ticket\":").whole(tunnel);
        if (retry_after > 0) out_.raw(",\"not_before_for\":").seconds(retry_after);
        out_.raw("}}\n");
    }
    void fail(std::uint64_t tunnel) override { write_action("Surrender", "ticket", tunnel); }
    void migrate(std::uint64_t tunnel) override { write_action("Reassign", "ticket", tunnel); }
    void check_health(std::uint32_t endpoint) override { write_action("Touch", "host", endpoint); }
    void request_endpoint_list() override { begin_action("StreamChanges").raw(",\"active\":true}}\n"); }
    void set_timer(Ticks at, std::uint64_t label) override {
        begin_action("WakeMe").raw(",\"at\":").seconds(at).raw(",\"label\":\"").whole(label).raw("\"}}\n");
    }
    void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        begin_action("Notify").raw(",\"to\":").whole(node).raw(",\"raw\":").hex(bytes).raw("}}\n");
    }
    void broadcast_gossip(std::span<const std::uint8_t> bytes) override {
        begin_action("Notify").raw(",\"to\":\"all\",\"raw\":").hex(bytes).raw("}}\n");
    }
    void log(std::string_view line) override {
        begin_action("SayLog").raw(",\"what\":").quoted(line).raw("}}\n");
    }

    std::unique_ptr<Balancer> balancer;
    std::size_t traffic_classes = 0;

  private:
    Reply& begin_action(std::string_view name) {
        return out_.raw("{\"").raw(name).raw("\":{\"who\":").whole(who_);
    }
    void write_action(std::string_view name, std::string_view field, std::uint64_t value) {
        begin_action(name).raw(",\"").raw(field).raw("\":").whole(value).raw("}}\n");
    }
    std::uint64_t who_;
    Reply& out_;
};

lemonstair::LoadReport decode_load_report(const Value& f) {
    lemonstair::LoadReport report;
    f.object("health_info").for_each_field([&](std::string_view name, const Value& value) {
        if (double* field = load_report_field(report, name)) *field = value.as_number();
    });
    return report;
}

Outcome decode_outcome(const Value& f) {
    return decode_word<Outcome>(f.text("state_code"),
                                {{"OK", Outcome::ok},
                                 {"INTERNAL", Outcome::error},
                                 {"RESOURCE_EXHAUSTED", Outcome::overloaded},
                                 {"DEADLINE_EXCEEDED", Outcome::timed_out},
                                 {"UNAVAILABLE", Outcome::unreachable},
                                 {"ABORTED", Outcome::connection_lost},
                                 {"CANCELLED", Outcome::cancelled},
                                 {"TOO_LATE", Outcome::not_sent}},
                                "state_code");
}

class Adapter {
  public:
    // Handles one line of input; throws json::Malformed.
    void handle_line(const char* text, std::size_t length) {
        if (!message_.parse({text, length})) throw Malformed("not JSON");
        int keys = 0;
        Value body;
        message_.root().for_each_field([&](std::string_view name, const Value& value) {
            ++keys;
            name_.assign(name);
            body = value;
        });
        if (keys != 1) throw Malformed("a message is an object with one key");
        if (body.type() != lemonstair::json::Type::object)
            throw Malformed("a message's fields are an object");
        handle(name_, body.with_context(name_.c_str()));
    }
    bool in_batch() const { return in_batch_; }

  private:
    void handle(const std::string& name, const Value& f) {
        if (name == "Batch") return begin_batch(f);
        if (!in_batch_) throw Malformed(name + " outside a batch");
        if (name == "Go") {
            in_batch_ = false;
            out_.raw("{\"Eor\":{}}\n").flush();
            return;
        }
        const std::uint64_t who = f.uint64("who");
        if (name == "Enlist") return enlist(who, f);
        if (who >= instances_.size() || !instances_[who])
            throw Malformed(name + ": instance " + std::to_string(who) + " was never enlisted");
        if (name == "Stop") return instances_[who].reset();
        Balancer& b = *instances_[who]->balancer;
        b.set_time(now_);
        if (!handle_tunnel_event(b, who, name, f) && !handle_node_event(b, name, f))
            throw Malformed("event '" + name + "' is unknown");
    }
    void begin_batch(const Value& f) {
        if (in_batch_) throw Malformed("Batch within a batch");
        in_batch_ = true;
        now_ = round_up_to_ticks(f.number("ts"));
    }
    // This and handle_node_event return false where the event is none of theirs.
    bool handle_tunnel_event(Balancer& b, std::uint64_t who, const std::string& name, const Value& f) {
        if (name == "Interim")
            on_interim(b, f);
        else if (name == "Reply")
            b.on_ended(f.uint64("ticket"), static_cast<int>(f.uint32("hop")), f.uint32("host"),
                       decode_outcome(f), round_up_to_ticks(f.number("duration", 0)), f.flag("settled"));
        else if (name == "Incoming")
            b.on_request(f.uint64("ticket"), decode_request(who, f));
        else if (name == "Flowing")
            b.on_opened(f.uint64("ticket"), static_cast<int>(f.uint32("hop")), f.uint32("host"),
                        round_up_to_ticks(f.number("duration", 0)));
        else if (name == "ClientLeft")
            b.on_client_disconnected(f.uint64("ticket"));
        else if (name == "Open")
            b.adopt_open_tunnel(f.uint64("ticket"), decode_request(who, f), f.uint32("host"));
        else
            return false;
        return true;
    }
    static bool handle_node_event(Balancer& b, const std::string& name, const Value& f) {
        if (name == "CheckResult")
            b.on_health_check(f.uint32("host"), decode_outcome(f), round_up_to_ticks(f.number("duration", 0)),
                              decode_load_report(f));
        else if (name == "TimeoutFired")
            on_timer(b, f.text("label"));
        else if (name == "Peer")
            on_gossip(b, f);
        else if (name == "Fleet")
            apply_endpoint_list(b, f);
        else
            return false;
        return true;
    }
    void enlist(std::uint64_t who, const Value& f) {
        if (who > 1000000) throw Malformed("Enlist: field 'who' is too large");
        if (who >= instances_.size()) instances_.resize(who + 1);
        auto instance = std::make_unique<Instance>(who, out_);
        if (!f.has("setup")) throw Malformed("Enlist: field 'setup' is missing");
        auto config = lemonstair::config::parse_settings(f.object("setup"), f.uint64("salt"));
        instance->traffic_classes = config.traffic_classes.size();
        instance->balancer = Balancer::start(std::move(config), *instance, now_);
        instances_[who] = std::move(instance);
    }
    static void on_interim(Balancer& b, const Value& f) {
        const auto what = f.uint64("what");
        if (what == 1) b.on_load_changed(f.uint64("ticket"), f.number("amount") / 1e6);
        if (what == 2)
            b.on_slow_messages(f.uint64("ticket"), f.uint32("host"),
                               round_up_to_ticks(f.number("amount") / 1e3));
    }
    static void on_timer(Balancer& b, std::string_view label) {
        std::uint64_t number = 0;
        const auto end = label.data() + label.size();
        if (std::from_chars(label.data(), end, number).ptr != end)
            throw Malformed("TimeoutFired: label was not set by this adapter");
        b.on_timer(number);
    }
    static void on_gossip(Balancer& b, const Value& f) {
        const auto text = f.text("raw");
        if (text.size() % 2 != 0) throw Malformed("Peer: field 'raw' is not hex digits");
        std::array<std::uint8_t, 4096> bytes{};
        const std::size_t n = std::min(text.size() / 2, bytes.size());
        for (std::size_t i = 0; i < n; ++i) {
            const char* p = text.data() + 2 * i;
            if (std::from_chars(p, p + 2, bytes[i], 16).ptr != p + 2)
                throw Malformed("Peer: field 'raw' is not hex digits");
        }
        b.on_gossip(f.uint32("src"), {bytes.data(), n});
    }
    lemonstair::TunnelRequest decode_request(std::uint64_t who, const Value& f) {
        if (f.uint64("qos") >= instances_[who]->traffic_classes)
            throw Malformed("field 'qos' names no profile");
        const auto bits = f.uint64("bitmap", 0);
        return {.key = f.text("path_key", ""),
                .group = f.text("room", ""),
                .deadline = round_down_to_ticks(f.number("valid_until")),
                .expected_load = (bits & 1) != 0 ? f.number("expected", 0) : 0,
                .traffic_class = f.uint32("qos"),
                .mid_flow = (bits & 8) != 0,
                .reconnect = (bits & 16) != 0};
    }
    static void apply_endpoint_list(Balancer& b, const Value& f) {
        using lemonstair::EndpointState, lemonstair::EndpointListKind;
        b.begin_endpoint_list(decode_word<EndpointListKind>(f.text("kind"),
                                                            {{"D", EndpointListKind::changes},
                                                             {"F", EndpointListKind::complete},
                                                             {"C", EndpointListKind::cached},
                                                             {"X", EndpointListKind::failed}},
                                                            "kind"));
        f.for_each("members_list", [&](const Value& m) {
            b.add_endpoint(m.uint32("host"), m.uint32("site", 0), m.uint32("cohort", 0),
                           decode_word<EndpointState>(m.text("lifecycle"),
                                                      {{"in_service", EndpointState::active},
                                                       {"terminating", EndpointState::draining},
                                                       {"terminated", EndpointState::removed}},
                                                      "lifecycle"),
                           m.number("nominal", 1), round_up_to_ticks(m.number("online_since", 0)));
        });
        b.end_endpoint_list();
    }

    lemonstair::json::Document message_;
    Reply out_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::string name_;
    Ticks now_ = 0;
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
                if (stop != start) adapter.handle_line(start, static_cast<std::size_t>(stop - start));
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
