// Adapter between an external simulator and the Balancer. Events come as JSON lines on standard input,
// actions leave as JSON lines on standard output; each simulated instance has a Balancer of its own. Only
// this file knows the names of the simulator's protocol; it makes no decisions. Times are rounded to the safe
// side: the clock and durations up, deadlines down. On invalid input the program names the line and exits
// with status 1.
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

// Collects the actions of a batch and writes them to standard output at its end. The buffer is reused.
class Reply {
  public:
    Reply& raw(std::string_view s) {
        text_.append(s);
        return *this;
    }
    Reply& number(std::uint64_t n) {
        std::array<char, 24> digits;
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), n).ptr;
        text_.append(digits.data(), end);
        return *this;
    }
    Reply& seconds(Ticks t) {
        if (t < 0) t = 0;
        number(static_cast<std::uint64_t>(t / 10000)).raw(".");
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
            if (n <= 0) throw std::runtime_error("cannot write to standard output");
            sent += static_cast<std::size_t>(n);
        }
        text_.clear();
    }

  private:
    std::string text_;
};

// One simulated instance: a balancer, and the delegate that writes each of its actions as a line of the
// reply.
class Instance final : public lemonstair::BalancerDelegate {
  public:
    Instance(std::uint64_t who, Reply& out) : who_(who), out_(out) {}
    void start_attempt(std::uint64_t tunnel, std::uint32_t endpoint, Ticks max_wait) override {
        begin_action("CallOut").raw(",\"ticket\":").number(tunnel).raw(",\"host\":").number(endpoint);
        out_.raw(",\"max_wait\":").seconds(max_wait).raw("}}\n");
    }
    void reject(std::uint64_t tunnel, Ticks retry_after) override {
        begin_action("SayNo").raw(",\"ticket\":").number(tunnel);
        if (retry_after > 0) out_.raw(",\"not_before_for\":").seconds(retry_after);
        out_.raw("}}\n");
    }
    void fail(std::uint64_t tunnel) override { write_action("Surrender", "ticket", tunnel); }
    void migrate(std::uint64_t tunnel) override { write_action("Reassign", "ticket", tunnel); }
    void check_health(std::uint32_t endpoint) override { write_action("Touch", "host", endpoint); }
    void request_endpoint_list() override { begin_action("StreamChanges").raw(",\"active\":true}}\n"); }
    void set_timer(Ticks at, std::uint64_t label) override {
        begin_action("WakeMe").raw(",\"at\":").seconds(at).raw(",\"label\":\"").number(label).raw("\"}}\n");
    }
    void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        begin_action("Notify").raw(",\"to\":").number(node).raw(",\"raw\":").hex(bytes).raw("}}\n");
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
        return out_.raw("{\"").raw(name).raw("\":{\"who\":").number(who_);
    }
    void write_action(std::string_view name, std::string_view field, std::uint64_t value) {
        begin_action(name).raw(",\"").raw(field).raw("\":").number(value).raw("}}\n");
    }
    std::uint64_t who_;
    Reply& out_;
};

lemonstair::LoadReport decode_load_report(const Value& fields) {
    lemonstair::LoadReport report;
    fields.object("health_info").for_each_field([&](std::string_view name, const Value& value) {
        if (double* field = load_report_field(report, name)) *field = value.as_number();
    });
    return report;
}

Outcome decode_outcome(const Value& fields) {
    return decode_word<Outcome>(fields.text("state_code"),
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

// Decodes events, hands them to the balancer of their instance, and writes the actions at the end of a batch.
class Adapter {
  public:
    // Handles one line of input. Throws json::Malformed where the line is not a valid event.
    void handle_line(const char* text, std::size_t length) {
        if (!message_.parse({text, length})) throw Malformed("expected a JSON value");
        int keys = 0;
        Value body;
        message_.root().for_each_field([&](std::string_view name, const Value& value) {
            ++keys;
            name_.assign(name);
            body = value;
        });
        if (keys != 1)
            throw Malformed("expected an object with one key, got " + std::to_string(keys) + " keys");
        if (body.type() != lemonstair::json::Type::object)
            throw Malformed(name_ + ": expected an object of fields");
        handle(name_, body.with_context(name_.c_str()));
    }
    bool in_batch() const { return in_batch_; }

  private:
    void handle(const std::string& name, const Value& fields) {
        if (name == "Batch") return begin_batch(fields);
        if (!in_batch_) throw Malformed(name + ": expected within a batch, but no Batch is open");
        if (name == "Go") {
            in_batch_ = false;
            out_.raw("{\"Eor\":{}}\n").flush();
            return;
        }
        const std::uint64_t who = fields.uint64("who");
        if (name == "Enlist") return enlist(who, fields);
        if (who >= instances_.size() || !instances_[who])
            throw Malformed(name + ": field 'who' is " + std::to_string(who) +
                            ", expected an enlisted instance");
        if (name == "Stop") return instances_[who].reset();
        Balancer& balancer = *instances_[who]->balancer;
        balancer.set_time(now_);
        if (!handle_tunnel_event(balancer, who, name, fields) && !handle_node_event(balancer, name, fields))
            throw Malformed("unknown event '" + name + "'");
    }
    void begin_batch(const Value& fields) {
        if (in_batch_) throw Malformed("Batch: the previous batch was not ended by Go");
        in_batch_ = true;
        now_ = round_up_to_ticks(fields.number("ts"));
    }
    // Like handle_node_event, returns false for an event of another kind.
    bool handle_tunnel_event(Balancer& balancer, std::uint64_t who, const std::string& name,
                             const Value& fields) {
        if (name == "Interim")
            on_interim(balancer, fields);
        else if (name == "Reply")
            balancer.on_ended(fields.uint64("ticket"), static_cast<int>(fields.uint32("hop")),
                              fields.uint32("host"), decode_outcome(fields),
                              round_up_to_ticks(fields.number("duration", 0)), fields.flag("settled"));
        else if (name == "Incoming")
            balancer.on_request(fields.uint64("ticket"), decode_request(who, fields));
        else if (name == "Flowing")
            balancer.on_opened(fields.uint64("ticket"), static_cast<int>(fields.uint32("hop")),
                               fields.uint32("host"), round_up_to_ticks(fields.number("duration", 0)));
        else if (name == "ClientLeft")
            balancer.on_client_disconnected(fields.uint64("ticket"));
        else if (name == "Open")
            balancer.adopt_open_tunnel(fields.uint64("ticket"), decode_request(who, fields),
                                       fields.uint32("host"));
        else
            return false;
        return true;
    }
    static bool handle_node_event(Balancer& balancer, const std::string& name, const Value& fields) {
        if (name == "CheckResult")
            balancer.on_health_check(fields.uint32("host"), decode_outcome(fields),
                                     round_up_to_ticks(fields.number("duration", 0)),
                                     decode_load_report(fields));
        else if (name == "TimeoutFired")
            on_timer(balancer, fields.text("label"));
        else if (name == "Peer")
            on_gossip(balancer, fields);
        else if (name == "Fleet")
            apply_endpoint_list(balancer, fields);
        else
            return false;
        return true;
    }
    void enlist(std::uint64_t who, const Value& fields) {
        if (who > 1000000)
            throw Malformed("Enlist: field 'who' is " + std::to_string(who) + ", expected at most 1000000");
        if (who >= instances_.size()) instances_.resize(who + 1);
        auto instance = std::make_unique<Instance>(who, out_);
        if (!fields.has("setup")) throw Malformed("Enlist: field 'setup' is missing");
        auto config = lemonstair::config::parse_settings(fields.object("setup"), fields.uint64("salt"));
        instance->traffic_classes = config.traffic_classes.size();
        instance->balancer = Balancer::start(std::move(config), *instance, now_);
        instances_[who] = std::move(instance);
    }
    // Field 'what': 1, 'amount' is the tunnel's load in millionths; 2, 'amount' is the time that its messages
    // take, in ms. Other values have no effect.
    static void on_interim(Balancer& balancer, const Value& fields) {
        const auto what = fields.uint64("what");
        if (what == 1) balancer.on_load_changed(fields.uint64("ticket"), fields.number("amount") / 1e6);
        if (what == 2)
            balancer.on_slow_messages(fields.uint64("ticket"), fields.uint32("host"),
                                      round_up_to_ticks(fields.number("amount") / 1e3));
    }
    static void on_timer(Balancer& balancer, std::string_view label) {
        std::uint64_t number = 0;
        const auto end = label.data() + label.size();
        if (std::from_chars(label.data(), end, number).ptr != end)
            throw Malformed("TimeoutFired: field 'label' is '" + std::string(label) +
                            "', expected the label of a WakeMe");
        balancer.on_timer(number);
    }
    static void on_gossip(Balancer& balancer, const Value& fields) {
        const auto text = fields.text("raw");
        if (text.size() % 2 != 0) throw Malformed("Peer: field 'raw' is not pairs of hex digits");
        std::array<std::uint8_t, 4096> bytes{};
        const std::size_t n = std::min(text.size() / 2, bytes.size());
        for (std::size_t i = 0; i < n; ++i) {
            const char* p = text.data() + 2 * i;
            if (std::from_chars(p, p + 2, bytes[i], 16).ptr != p + 2)
                throw Malformed("Peer: field 'raw' is not pairs of hex digits");
        }
        balancer.on_gossip(fields.uint32("src"), {bytes.data(), n});
    }
    lemonstair::TunnelRequest decode_request(std::uint64_t who, const Value& fields) {
        if (fields.uint64("qos") >= instances_[who]->traffic_classes)
            throw Malformed(name_ + ": field 'qos' is " + std::to_string(fields.uint64("qos")) +
                            ", expected the index of a profile");
        // Bit 0: field 'expected' holds the expected load; bit 3: mid-flow; bit 4: reconnect.
        const auto bits = fields.uint64("bitmap", 0);
        return {.key = fields.text("path_key", ""),
                .group = fields.text("room", ""),
                .deadline = round_down_to_ticks(fields.number("valid_until")),
                .expected_load = (bits & 1) != 0 ? fields.number("expected", 0) : 0,
                .traffic_class = fields.uint32("qos"),
                .mid_flow = (bits & 8) != 0,
                .reconnect = (bits & 16) != 0};
    }
    static void apply_endpoint_list(Balancer& balancer, const Value& fields) {
        using lemonstair::EndpointState, lemonstair::EndpointListKind;
        balancer.begin_endpoint_list(decode_word<EndpointListKind>(fields.text("kind"),
                                                                   {{"D", EndpointListKind::changes},
                                                                    {"F", EndpointListKind::complete},
                                                                    {"C", EndpointListKind::cached},
                                                                    {"X", EndpointListKind::failed}},
                                                                   "kind"));
        fields.for_each("members_list", [&](const Value& member) {
            balancer.add_endpoint(member.uint32("host"), member.uint32("site", 0), member.uint32("cohort", 0),
                                  decode_word<EndpointState>(member.text("lifecycle"),
                                                             {{"in_service", EndpointState::active},
                                                              {"terminating", EndpointState::draining},
                                                              {"terminated", EndpointState::removed}},
                                                             "lifecycle"),
                                  member.number("nominal", 1),
                                  round_up_to_ticks(member.number("online_since", 0)));
        });
        balancer.end_endpoint_list();
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
    std::size_t line_number = 0;
    try {
        for (;;) {
            const char* start = buffer.data() + begin;
            const auto* stop = static_cast<const char*>(std::memchr(start, '\n', end - begin));
            if (stop != nullptr) {
                ++line_number;
                if (stop != start) adapter.handle_line(start, static_cast<std::size_t>(stop - start));
                begin = static_cast<std::size_t>(stop + 1 - buffer.data());
                continue;
            }
            std::memmove(buffer.data(), start, end - begin);
            end -= begin;
            begin = 0;
            if (buffer.size() - end < (1 << 16)) buffer.resize(buffer.size() * 2);
            const ssize_t n = ::read(STDIN_FILENO, buffer.data() + end, buffer.size() - end);
            if (n < 0) throw std::runtime_error("cannot read standard input");
            if (n == 0) break;
            end += static_cast<std::size_t>(n);
        }
        if (end > 0) throw Malformed("expected a line end before the end of input");
        if (adapter.in_batch()) throw Malformed("expected Go before the end of input");
    } catch (const std::exception& error) {
        std::fprintf(stderr, "lemonstair_simulator_adapter: line %zu: %s\n", line_number, error.what());
        return 1;
    }
    return 0;
}

}  // namespace

int main() { return serve(); }
