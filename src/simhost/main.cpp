// The adapter between the bench's wire and the Balancer: JSON lines in, JSON lines out, one Balancer for each
// instance. It decides nothing. Times are rounded to the safe side: the clock and spans up, deadlines down.
#include <simdjson.h>
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

namespace {

using lemonstair::Balancer;
using lemonstair::Ending;
using lemonstair::Tenths;
using simdjson::dom::element;
using simdjson::dom::object;

constexpr double tenths_a_second = 10000.0;

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Tenths down(double seconds) { return static_cast<Tenths>(std::floor(seconds * tenths_a_second + 1e-3)); }
Tenths up(double seconds) { return static_cast<Tenths>(std::ceil(seconds * tenths_a_second - 1e-3)); }

// One event's or setting's fields by name. A missing or mistyped field is told by its name.
class Fields {
  public:
    Fields(object of, const char* where) : of_(of), where_(where), present_(true) {}
    explicit Fields(const char* where) : where_(where) {}
    bool has(std::string_view name) const {
        element e;
        return present_ && of_[name].get(e) == simdjson::SUCCESS && !e.is_null();
    }
    std::uint64_t whole(std::string_view name) const { return need<std::uint64_t>(name, "a whole number"); }
    std::uint64_t whole(std::string_view name, std::uint64_t or_else) const {
        return has(name) ? whole(name) : or_else;
    }
    std::uint32_t small(std::string_view name) const { return narrow(name, whole(name)); }
    std::uint32_t small(std::string_view name, std::uint32_t or_else) const {
        return has(name) ? small(name) : or_else;
    }
    double number(std::string_view name) const { return need<double>(name, "a number"); }
    double number(std::string_view name, double or_else) const { return has(name) ? number(name) : or_else; }
    std::string_view text(std::string_view name) const { return need<std::string_view>(name, "a text"); }
    std::string_view text(std::string_view name, std::string_view or_else) const {
        return has(name) ? text(name) : or_else;
    }
    bool flag(std::string_view name) const { return has(name) && need<bool>(name, "true or false"); }
    Fields inner(std::string_view name) const {
        return has(name) ? Fields(need<object>(name, "an object"), where_) : Fields(where_);
    }
    template <class Each>
    void each(std::string_view name, Each&& each_one) const {
        if (!has(name)) return;
        for (const element e : need<simdjson::dom::array>(name, "a list")) each_one(e);
    }

  private:
    template <class T>
    T need(std::string_view name, const char* what) const {
        element e;
        if (!present_ || of_[name].get(e) != simdjson::SUCCESS) fail(name, "is missing");
        T value{};
        if (e.get(value) != simdjson::SUCCESS) fail(name, std::string("is not ") + what);
        return value;
    }
    std::uint32_t narrow(std::string_view name, std::uint64_t value) const {
        if (value > 0xffffffffULL) fail(name, "is too large");
        return static_cast<std::uint32_t>(value);
    }
    [[noreturn]] void fail(std::string_view name, const std::string& what) const {
        throw Malformed(std::string(where_) + ": field '" + std::string(name) + "' " + what);
    }
    object of_;
    const char* where_;
    bool present_ = false;
};

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

template <class T, std::size_t N>
T pick(std::string_view word, const std::array<std::pair<std::string_view, T>, N>& words, const char* what) {
    for (const auto& [name, value] : words)
        if (name == word) return value;
    throw Malformed(std::string(what) + " '" + std::string(word) + "' is unknown");
}

lemonstair::Profile read_profile(const Fields& f) {
    using lemonstair::Effect, lemonstair::Scope;
    lemonstair::Profile p;
    p.setup_goal = down(f.number("setup_goal"));
    p.client_timeout = down(f.number("client_timeout"));
    p.window = down(f.number("window", 0));
    p.credit = f.number("credit", 1);
    p.stream = f.flag("stream");
    p.effect = pick<Effect, 3>(f.text("effect"),
                               {{{"read_like", Effect::repeatable},
                                 {"idempotency_key", Effect::referenced},
                                 {"non_idempotent", Effect::once_only}}},
                               "effect");
    p.scope =
        pick<Scope, 3>(f.text("dedup_scope", "all"),
                       {{{"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::cell}}}, "dedup_scope");
    return p;
}

lemonstair::Terms read_terms(const Fields& f, std::uint64_t seed) {
    lemonstair::Terms t;
    f.each("profiles", [&](element e) { t.profiles.push_back(read_profile({e, "Enlist"})); });
    const Fields rules = f.inner("rules"), costs = f.inner("costs"), limits = f.inner("limits"),
                 domain = f.inner("domain");
    std::size_t at = 0;
    domain.each("message_aim", [&](element e) {
        if (at < t.profiles.size()) t.profiles[at++].message_goal = down(e.get_double());
    });
    t.rules = {.ask_within = down(rules.number("ask_within", 0)),
               .drain_grace = down(rules.number("stop_sending_within", 0)),
               .cold = up(rules.number("cold", 0)),
               .fall = up(rules.number("fall", 0)),
               .cold_from = rules.number("cold_from", 1),
               .tip_multiple = rules.number("tip_multiple", 1)};
    t.prices = {.cross_zone = costs.number("cross_zone", 0),
                .probe = costs.number("probe", 0),
                .peer = costs.number("peer", 0)};
    t.limits = {.max_come_back = limits.flag("retry_after") ? down(limits.number("max_retry_after", 0)) : 0,
                .max_setups = static_cast<int>(limits.small("max_setups", 1)),
                .peers = limits.flag("peers"),
                .probing = limits.flag("probing")};
    t.tick = up(f.number("granularity", 0));
    t.me = f.small("me", 0);
    t.nodes = f.small("balancers", 1);
    t.zone = f.small("zone", 0);
    t.seed = static_cast<std::uint32_t>(seed ^ (seed >> 32));
    t.must_ask = f.text("membership_mode", "push") == "ask";
    t.groups = domain.flag("groups");
    t.sized = f.text("weight_kind", "none") != "none";
    return t;
}

lemonstair::Report read_report(const Fields& f) {
    using lemonstair::Report;
    const Fields r = f.inner("health_info");
    Report report;
    for (const auto& [name, value] :
         std::array<std::pair<const char*, double*>, 5>{{{"inflight", &report.inflight},
                                                         {"queue", &report.queue},
                                                         {"util", &report.busy},
                                                         {"x0", &report.load},
                                                         {"x1", &report.piled_s}}})
        *value = r.number(name, Report::none);
    return report;
}

Ending read_ending(const Fields& f) {
    return pick<Ending, 8>(f.text("state_code"),
                           {{{"OK", Ending::ok},
                             {"INTERNAL", Ending::error},
                             {"RESOURCE_EXHAUSTED", Ending::full},
                             {"DEADLINE_EXCEEDED", Ending::timed_out},
                             {"UNAVAILABLE", Ending::unreachable},
                             {"ABORTED", Ending::broken},
                             {"CANCELLED", Ending::called_off},
                             {"TOO_LATE", Ending::not_sent}}},
                           "state_code");
}

class Adapter {
  public:
    // Takes one line of input; true once a batch has been answered.
    void line(const char* text, std::size_t length) {
        element message;
        object fields;
        if (parser_.parse(text, length, false).get(message) != simdjson::SUCCESS) throw Malformed("not JSON");
        if (message.get(fields) != simdjson::SUCCESS || fields.size() != 1)
            throw Malformed("a message is an object with one key");
        const auto entry = *fields.begin();
        object body;
        if (entry.value.get(body) != simdjson::SUCCESS) throw Malformed("a message's fields are an object");
        name_.assign(entry.key);
        event(name_, Fields(body, name_.c_str()));
    }
    bool in_batch() const { return in_batch_; }

  private:
    void event(const std::string& name, const Fields& f) {
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
    void enlist(std::uint64_t who, const Fields& f) {
        if (who > 1000000) throw Malformed("Enlist: field 'who' is too large");
        if (who >= instances_.size()) instances_.resize(who + 1);
        auto instance = std::make_unique<Instance>(who, out_);
        if (!f.has("setup")) throw Malformed("Enlist: field 'setup' is missing");
        auto terms = read_terms(f.inner("setup"), f.whole("salt"));
        instance->profiles = terms.profiles.size();
        instance->balancer = Balancer::start(std::move(terms), *instance, now_);
        instances_[who] = std::move(instance);
    }
    static void interim(Balancer& b, const Fields& f) {
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
    static void told(Balancer& b, const Fields& f) {
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
    lemonstair::Arrival arrival(std::uint64_t who, const Fields& f) {
        if (f.whole("qos") >= instances_[who]->profiles) throw Malformed("field 'qos' names no profile");
        const auto bits = f.whole("bitmap", 0);
        return {.key = f.text("path_key", ""),
                .group = f.text("room", ""),
                .give_up_at = down(f.number("valid_until")),
                .load = (bits & 1) != 0 ? f.number("expected", 0) : 0,
                .profile = f.small("qos"),
                .mid_flow = (bits & 8) != 0};
    }
    static void fleet(Balancer& b, const Fields& f) {
        using lemonstair::Life, lemonstair::ListKind;
        b.list_begin(pick<ListKind, 4>(f.text("kind"),
                                       {{{"D", ListKind::changes},
                                         {"F", ListKind::whole},
                                         {"C", ListKind::remembered},
                                         {"X", ListKind::failed}}},
                                       "kind"));
        f.each("members_list", [&](element e) {
            const Fields m(e, "Fleet");
            b.listed(m.small("host"), m.small("site", 0), m.small("cohort", 0),
                     pick<Life, 3>(m.text("lifecycle"),
                                   {{{"in_service", Life::in_service},
                                     {"terminating", Life::draining},
                                     {"terminated", Life::gone}}},
                                   "lifecycle"),
                     m.number("nominal", 1), up(m.number("online_since", 0)));
        });
        b.list_end();
    }

    simdjson::dom::parser parser_;
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
            if (buffer.size() - end < (1 << 16) + simdjson::SIMDJSON_PADDING)
                buffer.resize(buffer.size() * 2);
            const ssize_t n =
                ::read(STDIN_FILENO, buffer.data() + end, buffer.size() - end - simdjson::SIMDJSON_PADDING);
            if (n < 0) throw std::runtime_error("standard input cannot be read");
            if (n == 0) break;
            end += static_cast<std::size_t>(n);
        }
        if (end > 0) throw Malformed("input ends within a line");
        if (adapter.in_batch()) throw Malformed("input ends within a batch");
    } catch (const std::exception& e) {
        std::fprintf(stderr, "lemonstair_simhost: line %zu: %s\n", number, e.what());
        return 1;
    }
    return 0;
}

}  // namespace

int main() { return serve(); }
