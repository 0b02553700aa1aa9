// lemonstair: one node. Its configuration is the JSON file that NODE_CONFIG names; LEMONSTAIR_LOG is the
// log's level: error, info or debug.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "config/launch.h"
#include "json/json.h"
#include "log/log.h"
#include "node/node.h"

namespace {

using lemonstair::json::Malformed;

std::string read_file(const char* path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw Malformed(std::string("NODE_CONFIG: cannot read '").append(path).append("'"));
    return {std::istreambuf_iterator<char>(file), {}};
}

lemonstair::log::Level log_level() {
    const char* name = std::getenv("LEMONSTAIR_LOG");
    if (name == nullptr) return lemonstair::log::Level::info;
    const auto level = lemonstair::log::level_of(name);
    if (!level) throw Malformed("LEMONSTAIR_LOG is not error, info or debug");
    return *level;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        std::signal(SIGPIPE, SIG_IGN);
        const char* path = argc > 1 ? argv[1] : std::getenv("NODE_CONFIG");
        if (path == nullptr) throw Malformed("NODE_CONFIG is not set and no file is named");
        lemonstair::log::Log log(log_level(), 2);
        const std::string text = read_file(path);
        lemonstair::json::Document file;
        if (!file.parse(text)) throw Malformed(std::string(path).append(": not JSON"));
        const auto root = file.root().told_as("configuration");
        lemonstair::node::Node node(lemonstair::config::read_launch(root), root.inner("known"), log);
        node.run();
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "lemonstair: " << e.what() << '\n';
        return 1;
    }
}
