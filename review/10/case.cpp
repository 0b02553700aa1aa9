// Discovery is down for 8 s while a host begins to drain. See claim.txt.
#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr int host_count = 4, node_count = 3;
constexpr double requests_per_second = 20;  // at each node
constexpr double grace = 0.25, slack = 0.05, outage = 8;

// A host that drains turns away what is new.
class DrainingHost final : public Host {
  public:
    using Host::Host;
    std::atomic<bool> draining{false};
    std::mutex mutex;
    std::vector<double> arrivals;

  private:
    void serve_request(Connection& connection, const std::string& request) override {
        {
            const std::lock_guard lock(mutex);
            arrivals.push_back(now());
        }
        if (draining) {
            connection.send("BUSY\r\n");
            return;
        }
        Host::serve_request(connection, request);
    }
};

std::string configuration(Discovery& discovery, int me) {
    return "\"discovery\":\"" + discovery.endpoint().text() + "\",\"seed\":\"8c1f30d27a5be96" + std::to_string(me) +
           "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + discovery.whole_list() +
           R"(,"settings":{"balancers":3,"me":)" + std::to_string(me) +
           R"(,"zone":0,"zones":["a"],"granularity":0.005,"membership_mode":"push","weight_kind":"nominal",
"domain":{"mode":"proxy","groups":false,"park":0.0},
"limits":{"max_setups":3,"connect_timeout":0.25,"probing":true,"peers":false,"cancel":true},
"report":{"via":"probe","columns":["x0"]},
"rules":{"stop_sending_within":0.25,"cold":8.6,"cold_from":0.33,"fall":1.5,"tip_multiple":2.5,"answer_slack":0.02},
"costs":{"probe":0.0016},
"profiles":[{"name":"cheque-status","setup_goal":0.3,"client_timeout":1.2,"credit":3.0,"effect":"read_like","stream":true}]})";
}

}  // namespace

int main(int argc, char** argv) {
    const std::string folder = begin_case(argc, argv);
    std::vector<std::unique_ptr<DrainingHost>> hosts;
    Discovery discovery(1);
    discovery.start();
    for (int i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<DrainingHost>("s-" + std::to_string(i), 10 + i));
        hosts.back()->start();
        discovery.add(*hosts.back());
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<Node>("n" + std::to_string(i), 2 + i, folder));
        nodes.back()->start(configuration(discovery, i));
    }
    for (const auto& node : nodes) node->await_ready();

    std::atomic<bool> stop{false}, leave{false};
    std::atomic<int> running{0}, up{0};
    std::vector<std::thread> sources;
    for (const auto& node : nodes)
        sources.emplace_back([&, &node = *node] {
            for (double next = now(); !stop; next += 1 / requests_per_second) {
                sleep_until(next);
                ++running;
                std::thread([&] {
                    if (Client::run(node.listen, "cheque-status", 1200, leave, 1, {}, 2).answer.rfind("UP", 0) == 0) ++up;
                    --running;
                }).detach();
            }
        });
    sleep_for(3);
    if (with_trouble()) discovery.go_down();
    sleep_for(outage - 0.5);
    hosts[0]->draining = true;
    discovery.set_phase(hosts[0]->id, "terminating");
    sleep_for(0.5);
    if (with_trouble()) discovery.come_back();
    const double told_at = with_trouble() ? now() : now() - 0.5;
    sleep_for(4);
    stop = leave = true;
    for (std::thread& source : sources) source.join();
    for (const auto& node : nodes) node->kill();

    int late = 0;
    const std::lock_guard lock(hosts[0]->mutex);
    for (const double at : hosts[0]->arrivals) {
        if (at <= told_at + grace + slack) continue;
        ++late;
        record("host %s got a request at %.3f, %.3f s after the nodes were told", hosts[0]->id.c_str(), at, at - told_at);
    }
    const std::string counts = std::to_string(up) + " connections brought up; " + std::to_string(late) +
                               " requests sent to a draining host after the grace";
    if (up == 0) finish(could_not_run, counts);
    finish(late > 0 ? rule_broken : rule_held, counts);
}
