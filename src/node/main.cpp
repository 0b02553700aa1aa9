// lemonstair: one node of the load balancer. Its configuration is the JSON file named by the first argument
// or by NODE_CONFIG. LEMONSTAIR_LOG sets the log level: error, info (the default) or debug. Exits with status
// 1 and an error message if the node cannot start.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <utility>

#include "config/source.h"
#include "json/json.h"
#include "log/log.h"
#include "net/kernel.h"
#include "node/node.h"

namespace {

using lemonstair::json::Malformed;

lemonstair::log::Level log_level() {
    const char* name = std::getenv("LEMONSTAIR_LOG");
    if (name == nullptr) return lemonstair::log::Level::info;
    const auto level = lemonstair::log::parse_level(name);
    if (!level)
        throw Malformed(
            std::string("LEMONSTAIR_LOG: expected error, info or debug, got '").append(name).append("'"));
    return *level;
}

// The file may be in the middle of being replaced, which must not prevent the start.
lemonstair::config::NodeConfig read_with_retry(lemonstair::config::ConfigSource& source) {
    constexpr int max_attempts = 20;
    constexpr auto retry_interval = std::chrono::milliseconds(100);
    for (int attempt = 1; attempt < max_attempts; ++attempt) {
        try {
            return source.read();
        } catch (const lemonstair::config::TransientReadError&) {
            std::this_thread::sleep_for(retry_interval);
        }
    }
    return source.read();
}

}  // namespace

int main(int argc, char** argv) {
    try {
        std::signal(SIGPIPE, SIG_IGN);
        lemonstair::net::block_signals();
        const char* path = argc > 1 ? argv[1] : std::getenv("NODE_CONFIG");
        if (path == nullptr)
            throw Malformed("no configuration file: NODE_CONFIG is not set and no argument names a file");
        lemonstair::log::DescriptorSink errors(2);
        lemonstair::log::Log log(log_level(), errors);
        lemonstair::net::Kernel kernel;
        lemonstair::config::ConfigSource source(kernel, path,
                                                {.admin_addr = std::getenv("NODE_ADMIN_ADDR"),
                                                 .inherited_fd = std::getenv("NODE_INHERITED_FD"),
                                                 .tmpdir = std::getenv("TMPDIR")});
        auto config = read_with_retry(source);
        lemonstair::node::Node node(kernel, std::move(config), source.known_endpoints(), log,
                                    [&] { return source.read(); });
        node.run();
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "lemonstair: " << e.what() << '\n';
        return 1;
    }
}
