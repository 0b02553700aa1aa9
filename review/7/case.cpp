// A bad client repeats the id of another client's open request, which then ends with an error. See claim.txt.
#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr int host_count = 3;
constexpr double work_time = 1, bad_client_stays = 2.5;

std::mutex runs_mutex;
std::map<std::string, int> runs;  // how often hosts have run a request, by its id

// Runs each request for a while; what it has run for a client of the class `order` ends with an error now and then, here always.
class FailingHost final : public Host {
  public:
    using Host::Host;

  private:
    void serve_request(Connection& connection, const std::string& request) override {
        sleep_for(work_time);
        const std::string request_id = word(request, 1);
        {
            const std::lock_guard lock(runs_mutex);
            record("host %s has run %s, for the %d. time", id.c_str(), request_id.c_str(), ++runs[request_id]);
        }
        connection.send("ERR\r\n");
    }
};

std::string configuration(Discovery& discovery) {
    return "\"discovery\":\"" + discovery.endpoint().text() +
           "\",\"seed\":\"8c1f30d27a5be961\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" +
           discovery.whole_list() +
           R"(,"settings":{"balancers":1,"me":0,"zone":0,"zones":["a"],"granularity":0.005,"membership_mode":"push","weight_kind":"nominal",
"domain":{"mode":"proxy","groups":false,"park":0.0},
"limits":{"max_setups":3,"connect_timeout":0.25,"probing":true,"peers":false,"cancel":true,"may_duplicate":false},
"report":{"via":"probe","columns":["x0"]},
"rules":{"stop_sending_within":3.0,"cold":8.0,"cold_from":0.33,"fall":1.5,"tip_multiple":2.5,"answer_slack":0.02},
"costs":{"probe":0.0016},
"profiles":[{"name":"order","setup_goal":0.5,"client_timeout":3.0,"credit":1.0,"effect":"non_idempotent","stream":true}]})";
}

}  // namespace

int main(int argc, char** argv) {
    const std::string folder = begin_case(argc, argv);
    std::vector<std::unique_ptr<FailingHost>> hosts;
    Discovery discovery(1);
    discovery.start();
    for (int i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<FailingHost>("s-" + std::to_string(i), 10 + i));
        hosts.back()->start();
        discovery.add(*hosts.back());
    }
    Node node("n0", 2, folder);
    node.start(configuration(discovery));
    node.await_ready();
    sleep_for(1);

    const std::string id = Client::new_id();
    const std::string request = "OPEN " + id + " " + Client::new_id() + " c=order,d=3000\r\n";
    Connection client;
    if (!client.connect(node.listen) || !client.send(request)) finish(could_not_run, "the node does not take the request");
    record("the client sends %.*s", static_cast<int>(request.size()) - 2, request.c_str());

    int turned_away = 0;
    std::thread bad_client([&] {
        if (!with_trouble()) return;
        sleep_for(0.2);
        record("a bad client sends the same line, and again as soon as it is turned away");
        for (const double until = now() + bad_client_stays; now() < until;) {
            Connection copy;
            std::string answer;
            if (!copy.connect(node.listen) || !copy.send(request)) break;
            copy.read_line(answer, 2);
            ++turned_away;
            record("the bad client gets '%s'", answer.c_str());
            sleep_for(0.05);
        }
    });
    std::string answer;
    client.read_line(answer, 4);
    record("the client gets '%s'", answer.c_str());
    bad_client.join();
    sleep_for(work_time + 0.5);
    const bool failed = node.ended(0);
    node.kill();

    const std::lock_guard lock(runs_mutex);
    const std::string counts = "the client got '" + answer + "'; its once-only request was run " + std::to_string(runs[id]) +
                               " times; the bad client sent its id " + std::to_string(turned_away) + " times";
    if (failed || answer != "ERR" || runs[id] == 0) finish(could_not_run, counts);
    finish(runs[id] > 1 ? rule_broken : rule_held, counts);
}
