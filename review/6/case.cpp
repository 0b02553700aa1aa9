// A node is told to end while a host hangs in the middle of a line to a client. See claim.txt.
#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr int host_count = 4, hanging_hosts = 2, clients_per_node = 30;
constexpr int pieces = 8;  // of a line
constexpr double piece_gap = 0.07;

// Writes its lines in pieces. While it hangs it neither reads nor writes.
class PiecewiseHost final : public Host {
  public:
    using Host::Host;
    std::atomic<bool> hangs{false};
    std::atomic<int> lines_begun{0};

  private:
    void wait_while_hanging() const {
        while (hangs) sleep_for(0.01);
    }
    bool answer_probe(Connection& connection, const std::string& line) override {
        wait_while_hanging();
        return Host::answer_probe(connection, line);
    }
    void serve_request(Connection& connection, const std::string& request) override {
        wait_while_hanging();
        Host::serve_request(connection, request);
    }
    bool answer_line(Connection& connection, const std::string& line) override {
        wait_while_hanging();
        const std::string text = "RE " + line + "\r\n";
        const std::size_t piece = text.size() / pieces + 1;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            if (at > 0) sleep_for(piece_gap);
            wait_while_hanging();
            if (!connection.send(text.substr(at, piece))) return false;
            if (at == 0) ++lines_begun;
            if (at + piece >= text.size()) --lines_begun;
        }
        return true;
    }
};

std::string configuration(Discovery& discovery, int me) {
    return "\"discovery\":\"" + discovery.endpoint().text() + "\",\"seed\":\"8c1f30d27a5be96" + std::to_string(me) +
           "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + discovery.whole_list() +
           R"(,"settings":{"balancers":2,"me":)" + std::to_string(me) +
           R"(,"zone":0,"zones":["a"],"granularity":0.005,"membership_mode":"push","weight_kind":"nominal",
"domain":{"mode":"proxy","groups":true,"message_aim":[0.25],"park":0.0},
"limits":{"max_setups":3,"connect_timeout":0.25,"probing":true,"peers":false,"cancel":true},
"report":{"via":"probe","columns":["x0"]},
"rules":{"stop_sending_within":3.0,"cold":8.6,"cold_from":0.33,"fall":1.5,"tip_multiple":2.5,"answer_slack":0.02},
"costs":{"probe":0.0016},
"profiles":[{"name":"conversation","setup_goal":0.5,"client_timeout":3.0,"credit":5.0,"effect":"read_like","stream":true}]})";
}

}  // namespace

int main(int argc, char** argv) {
    const std::string folder = begin_case(argc, argv);
    std::vector<std::unique_ptr<PiecewiseHost>> hosts;
    Discovery discovery(1);
    discovery.start();
    for (int i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<PiecewiseHost>("s-" + std::to_string(i), 10 + i));
        hosts.back()->start();
        discovery.add(*hosts.back());
    }
    Node first("n0", 2, folder), second("n1", 3, folder);
    first.start(configuration(discovery, 0));
    second.start(configuration(discovery, 1));
    first.await_ready();
    second.await_ready();

    std::atomic<bool> leave{false};
    std::mutex mutex;
    std::vector<Client::Result> of_first;
    std::atomic<int> open{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * clients_per_node; ++i) {
        Node& node = i % 2 == 0 ? first : second;
        clients.emplace_back([&, i] {
            Client::Result result;
            for (int tries = 0; tries < 10 && !leave; ++tries) {  // a client that is refused comes again
                result = Client::run(node.listen, "conversation", 3000, leave, 0.1 + 0.13 * (i / 2 % 15),
                                     [&](const Client::Result& answered) { open += answered.answer.rfind("UP", 0) == 0; });
                if (result.end != Client::End::answered) break;
                sleep_for(0.3);
            }
            if (&node != &first) return;
            const std::lock_guard lock(mutex);
            of_first.push_back(result);
        });
        sleep_for(0.05);
    }
    while (open < 2 * clients_per_node) sleep_for(0.05);
    sleep_for(4);
    if (with_trouble()) {
        // Half of the hosts hang in the middle of their work: while they write lines.
        while (hosts[0]->lines_begun == 0 || hosts[1]->lines_begun == 0) sleep_for(0.002);
        for (int i = 0; i < hanging_hosts; ++i) hosts[i]->hangs = true;
        for (int i = 0; i < hanging_hosts; ++i)
            record("host %s hangs, %d lines are begun", hosts[i]->id.c_str(), hosts[i]->lines_begun.load());
    }
    sleep_for(0.3);
    first.signal(SIGTERM);
    const double killed_at = now() + 3.0 + 0.7;
    const bool ended = first.ended(3.0 + 0.7);
    if (!ended) {
        sleep_until(killed_at);
        first.kill();
    }
    sleep_for(0.5);
    leave = true;
    for (std::thread& client : clients) client.join();
    second.kill();

    int moved = 0, lost = 0, unanswered = 0;
    for (const Client::Result& result : of_first) {
        if (result.answer.rfind("UP", 0) != 0) ++unanswered;
        if (result.end == Client::End::moved) ++moved;
        if (result.end != Client::End::ended_by_node && result.end != Client::End::reset_by_node) continue;
        ++lost;
        record("client %s (%s) was cut off without MOVE at %.3f; of the line under way it had: '%s'", result.id.c_str(),
               result.answer.c_str(), result.ended_at, result.half_line.c_str());
    }
    const std::string counts = std::to_string(of_first.size()) + " connections at the node that was told to end: " +
                               std::to_string(moved) + " moved, " + std::to_string(lost) + " cut off without MOVE";
    if (unanswered > 0) finish(could_not_run, "some clients were not brought up; " + counts);
    finish(lost > 0 ? rule_broken : rule_held, counts);
}
