// A new configuration moves discovery while idle clients fill the descriptors, soon after discovery was down. See claim.txt.
#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr int node_count = 2, host_count = 3, sockets = 256;
constexpr double requests_per_second = 4;  // at each node
constexpr double outage = 4, reload_after = 1, old_place_closes_after = 1.5;
constexpr double drain_after = 6, crowd_leaves_after = 1, watched = 30;
constexpr double told_within = 6, grace = 0.25, slack = 0.05;

class DrainingHost final : public Host {
  public:
    using Host::Host;
    std::mutex mutex;
    std::vector<double> arrivals;

  private:
    // A host that drains is up until it has finished what it has; whatever reaches it is written down.
    void serve_request(Connection& connection, const std::string& request) override {
        {
            const std::lock_guard lock(mutex);
            arrivals.push_back(now());
        }
        Host::serve_request(connection, request);
    }
};

std::string configuration(Discovery& discovery, int me) {
    return "\"discovery\":\"" + discovery.endpoint().text() + "\",\"seed\":\"8c1f30d27a5be96" + std::to_string(me) +
           "\",\"limits\":{\"cores\":1.0,\"memory_mb\":96,\"sockets\":" + std::to_string(sockets) +
           "},\"known\":" + discovery.whole_list() + R"(,"settings":{"balancers":2,"me":)" + std::to_string(me) +
           R"(,"zone":0,"zones":["a"],"granularity":0.005,"membership_mode":"ask","weight_kind":"nominal",
"domain":{"mode":"pass","groups":false,"park":6.0},
"limits":{"max_setups":3,"connect_timeout":0.25,"probing":true,"peers":false,"cancel":true},
"report":{"via":"probe","columns":["x0"]},
"rules":{"stop_sending_within":0.25,"ask_within":10.0,"cold":24.0,"cold_from":0.13,"fall":1.0,"tip_multiple":2.5,"answer_slack":0.02},
"costs":{"probe":0.0014},
"profiles":[{"name":"cheque-status","setup_goal":0.3,"client_timeout":1.2,"credit":3.0,"effect":"read_like","stream":true}]})";
}

}  // namespace

int main(int argc, char** argv) {
    const std::string folder = begin_case(argc, argv);
    const int crowd_size = std::getenv("CROWD") != nullptr ? std::atoi(std::getenv("CROWD")) : 1500;
    raise_descriptor_limit(static_cast<rlim_t>(node_count * crowd_size + 1200));
    std::vector<std::unique_ptr<DrainingHost>> hosts;
    Discovery discovery(1), new_discovery(9);
    discovery.start();
    new_discovery.start();
    for (int i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<DrainingHost>("s-" + std::to_string(i), 10 + i));
        hosts.back()->start();
        discovery.add(*hosts.back());
        new_discovery.add(*hosts.back());
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<Node>("n" + std::to_string(i), 2 + i, folder));
        nodes.back()->max_descriptors = sockets;
        nodes.back()->start(configuration(discovery, i));
    }
    for (const auto& node : nodes) node->await_ready();

    std::atomic<bool> stop{false}, leave{false};
    std::atomic<int> up{0};
    std::vector<std::thread> sources;
    for (const auto& node : nodes)
        sources.emplace_back([&, &node = *node] {
            for (double next = now(); !stop; next += 1 / requests_per_second) {
                sleep_until(next);
                std::thread([&] {
                    if (Client::run(node.listen, "cheque-status", 1200, leave, 1, {}, 38).answer.rfind("UP", 0) == 0) ++up;
                }).detach();
            }
        });
    sleep_for(3);
    std::vector<std::unique_ptr<Crowd>> crowds;
    if (with_trouble()) {
        record("%d clients connect to each node and say nothing", crowd_size);
        for (const auto& node : nodes) {
            crowds.push_back(std::make_unique<Crowd>());
            crowds.back()->start(node->listen, crowd_size);
        }
        sleep_for(2);
        discovery.go_down();
    }
    sleep_for(outage);
    if (with_trouble()) discovery.come_back();
    sleep_for(reload_after);
    for (int i = 0; i < node_count; ++i) {
        nodes[i]->replace_configuration(configuration(new_discovery, i));
        nodes[i]->signal(SIGHUP);
    }
    discovery.stop();  // the old place takes no new connection
    sleep_for(old_place_closes_after);
    discovery.go_down();
    sleep_for(drain_after - old_place_closes_after);
    new_discovery.set_phase(hosts[0]->id, "terminating");
    const double told_at = now() + told_within;  // at the latest; 4 s after SIGHUP is earlier
    sleep_for(crowd_leaves_after);
    for (const auto& crowd : crowds) crowd->stop();
    if (with_trouble()) record("the clients that say nothing have gone");
    sleep_for(watched);
    stop = leave = true;
    for (std::thread& source : sources) source.join();
    bool failed = false;
    for (const auto& node : nodes) {
        failed = failed || node->ended(0);
        node->kill();
    }

    int late = 0;
    const std::lock_guard lock(hosts[0]->mutex);
    for (const double at : hosts[0]->arrivals) {
        if (at <= told_at + grace + slack) continue;
        ++late;
        record("host %s got a request at %.3f, %.3f s after the nodes counted as told", hosts[0]->id.c_str(), at, at - told_at);
    }
    const std::string counts = std::to_string(up) + " connections brought up; " + std::to_string(late) +
                               " requests sent to a draining host after the grace";
    if (failed || up == 0) finish(could_not_run, counts);
    finish(late > 0 ? rule_broken : rule_held, counts);
}
