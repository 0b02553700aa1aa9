// A new version takes over while idle clients fill the descriptors. See claim.txt.
#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr int host_count = 4, sockets = 256, crowd_size = 1500, wait_ms = 1200;
constexpr double requests_per_second = 20, life = 1, longest_deadline = 1.8;
constexpr double answer_grace = 0.5, slack = 0.05;

std::string configuration(Discovery& discovery) {
    return "\"discovery\":\"" + discovery.endpoint().text() +
           "\",\"seed\":\"8c1f30d27a5be961\",\"limits\":{\"cores\":1.0,\"memory_mb\":96,\"sockets\":" + std::to_string(sockets) +
           "},\"known\":" + discovery.whole_list() +
           R"(,"settings":{"balancers":1,"me":0,"zone":0,"zones":["a"],"granularity":0.005,"membership_mode":"ask","weight_kind":"nominal",
"domain":{"mode":"pass","groups":false,"park":6.0},
"limits":{"max_setups":3,"connect_timeout":0.25,"probing":true,"peers":false,"cancel":true},
"report":{"via":"probe","columns":["x0"]},
"rules":{"stop_sending_within":0.25,"ask_within":10.0,"cold":24.0,"cold_from":0.13,"fall":1.0,"tip_multiple":2.5,"answer_slack":0.02},
"costs":{"probe":0.0014},
"profiles":[{"name":"cheque-status","setup_goal":0.3,"client_timeout":1.2,"credit":3.0,"effect":"read_like","stream":true},
{"name":"refund-check","setup_goal":0.3,"client_timeout":1.2,"credit":5.0,"effect":"read_like","stream":true},
{"name":"rate-feed","setup_goal":0.3,"client_timeout":1.8,"credit":1.0,"effect":"read_like","stream":true},
{"name":"shop-config","setup_goal":0.3,"client_timeout":1.2,"credit":1.0,"effect":"read_like","stream":true}]})";
}

}  // namespace

int main(int argc, char** argv) {
    const std::string folder = begin_case(argc, argv);
    raise_descriptor_limit(crowd_size + 600);
    std::vector<std::unique_ptr<Host>> hosts;
    Discovery discovery(1);
    discovery.start();
    for (int i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), 10 + i));
        hosts.back()->start();
        discovery.add(*hosts.back());
    }
    Node node("n0", 2, folder);
    node.max_descriptors = sockets;
    node.hold_listener();
    node.admin = free_endpoint(3);
    node.start(configuration(discovery), 1);
    node.await_ready();

    std::atomic<bool> stop{false}, leave{false};
    std::atomic<int> running{0};
    std::mutex mutex;
    std::vector<Client::Result> results;
    std::thread source([&] {
        for (double next = now(); !stop; next += 1 / requests_per_second) {
            sleep_until(next);
            ++running;
            std::thread([&] {
                const auto result = Client::run(node.listen, "cheque-status", wait_ms, leave, 0.5, {}, life);
                const std::lock_guard lock(mutex);
                results.push_back(result);
                --running;
            }).detach();
        }
    });
    sleep_for(3);
    Crowd crowd;
    if (with_trouble()) {
        record("%d clients connect and say nothing", crowd_size);
        crowd.start(node.listen, crowd_size);
    }
    sleep_for(5);

    const pid_t old_process = node.release_process();
    node.admin = free_endpoint(4);
    const double upgrade_at = now();
    node.start(configuration(discovery), 2);
    while (!node.reports_ready())
        if (now() > upgrade_at + 6) {
            ::kill(old_process, SIGKILL);
            node.kill();
            finish(rule_broken, "the new process did not say yes within 6 s");
        }
    record("the new process says yes; the old one gets SIGTERM");
    ::kill(old_process, SIGTERM);
    const double kill_at = now() + longest_deadline + 0.7;
    bool ended = false;
    for (int status = 0; now() < kill_at && !ended; sleep_for(0.01)) ended = ::waitpid(old_process, &status, WNOHANG) == old_process;
    if (!ended) {
        record("the old process gets SIGKILL");
        ::kill(old_process, SIGKILL);
        ::waitpid(old_process, nullptr, 0);
    } else {
        record("the old process has ended");
    }
    sleep_for(3);
    stop = true;
    source.join();
    for (const double until = now() + 5; running > 0 && now() < until;) sleep_for(0.05);
    leave = true;
    crowd.stop();
    sleep_for(0.3);
    const bool failed = node.ended(0);
    node.kill();

    int up = 0, late = 0, unanswered = 0, shut_unread = 0;
    const std::lock_guard lock(mutex);
    for (const Client::Result& result : results) {
        const double took = result.answered_at - result.sent_at;
        if (result.answer.rfind("UP", 0) == 0) ++up;
        // With idle clients that fill the descriptors, a new connection may be shut unread.
        if (result.answer.empty() && took < wait_ms / 1000.0 + answer_grace) {
            ++shut_unread;
            continue;
        }
        if (took <= wait_ms / 1000.0 + answer_grace + slack) continue;
        (result.answer.empty() ? unanswered : late) += 1;
        record("request %s, sent at %.3f with d=%d, got '%s' after %.3f s", result.id.c_str(), result.sent_at, wait_ms,
               result.answer.c_str(), took);
    }
    char counts[300];
    std::snprintf(counts, sizeof counts, "%zu requests: %d brought up, %d answered over 0.5 s after their time, %d never answered, %d shut unread",
                  results.size(), up, late, unanswered, shut_unread);
    if (failed || up == 0) finish(could_not_run, counts);
    finish(late + unanswered > 0 ? rule_broken : rule_held, counts);
}
