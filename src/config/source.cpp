#include "config/source.h"

#include <cerrno>

#include "net/transfer.h"

namespace lemonstair::config {

namespace {

constexpr std::size_t longest_file = 8 << 20;

}  // namespace

NodeConfig ConfigSource::read() {
    const auto fail = [&](const char* what) {
        throw json::Malformed(std::string("configuration: '").append(path_).append("' ").append(what));
    };
    errno = 0;
    if (const char* wrong = system_.read_file(path_, longest_file, text_)) {
        const int error = errno;
        if (net::is_local_failure(error) || error == EIO)
            throw Unreadable(std::string("configuration: '").append(path_).append("' ").append(wrong));
        fail(wrong);
    }
    if (!file_.parse(text_)) fail("is not JSON");
    const json::Value file = file_.root().with_context("configuration");
    NodeConfig launch = parse_node_config(file, around_);
    // The system may allow fewer descriptors than the file grants.
    launch.sockets = system_.descriptor_limit(launch.sockets);
    if (launch.sockets < fewest_sockets)
        throw json::Malformed("configuration: the system allows fewer than 32 of the 'sockets' granted");
    return launch;
}

}  // namespace lemonstair::config
