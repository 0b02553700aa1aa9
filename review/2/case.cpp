// A bad client sends the id of another client's open request while a new version takes the node over.
#include "../support/rig.h"

int main(int argument_count, char** values) try {
    const rig::Arguments arguments(argument_count, values);
    rig::Record record(arguments.folder + "/record.txt");
    rig::Settings settings;
    settings.effect = "non_idempotent";

    std::mutex mutex;
    std::map<std::string, int> received;  // first lines by id
    // A slow server: it takes 1.5 s to set a connection up.
    rig::Service server([&](rig::Connection& connection) {
        std::string line;
        while (connection.read_line(line, rig::now() + 60) == rig::Connection::Read::line) {
            if (rig::answer_probe(connection, line)) continue;
            if (line.rfind("OPEN ", 0) == 0) {
                record.add("server: received '%s'", line.c_str());
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    ++received[rig::id_of(line)];
                }
                rig::sleep_for(1.5);
                connection.write("UP r-" + rig::id_of(line) + "\r\n");
            } else {
                connection.write(line + "\r\n");
            }
        }
    });
    rig::Discovery discovery(record);
    discovery.change({{"s-1", server.address()}});

    rig::Platform platform(arguments, record, discovery.address(), settings);
    if (!platform.start()) return rig::could_not_run;
    rig::sleep_for(1);

    const std::string request = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=3000\r\n";
    const auto client = rig::Connection::to(platform.port());
    record.add("client: sends its request");
    if (!client || !client->write(request)) return rig::could_not_run;
    rig::sleep_for(0.2);
    if (arguments.trouble && platform.upgrade() < 0) return rig::could_not_run;
    rig::sleep_for(0.2);

    const auto bad_client = rig::Connection::to(platform.port());
    record.add("bad client: sends the id of the client's open request");
    if (!bad_client || !bad_client->write(request)) return rig::could_not_run;
    std::string answer, bad_answer;
    const auto bad_result = bad_client->read_line(bad_answer, rig::now() + 3);
    record.add("bad client: %s '%s'", rig::name_of(bad_result), bad_answer.c_str());
    const auto result = client->read_line(answer, rig::now() + 3);
    record.add("client: %s '%s'", rig::name_of(result), answer.c_str());

    const std::lock_guard<std::mutex> lock(mutex);
    const int runs = received["9b1f03aa5c7e2d41"];
    const bool bad_client_served = bad_answer.rfind("UP", 0) == 0;
    record.add("result: the server received the id %d times; the bad client was %s", runs,
               bad_client_served ? "served" : "not served");
    if (runs < 1 || !platform.running()) return rig::could_not_run;
    return runs > 1 || bad_client_served ? rig::broken : rig::held;
} catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return rig::could_not_run;
}
