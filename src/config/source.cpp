#include "config/source.h"

#include <cerrno>

#include "net/transfer.h"

namespace lemonstair::config {

namespace {

constexpr std::size_t max_file_bytes = 8 << 20;

}  // namespace

NodeConfig ConfigSource::read() {
    const auto fail = [&](const char* problem) {
        throw json::Malformed(std::string("configuration: '").append(path_).append("' ").append(problem));
    };
    errno = 0;
    if (const char* problem = system_.read_file(path_, max_file_bytes, text_)) {
        const int error = errno;
        if (net::is_local_failure(error) || error == EIO)
            throw TransientReadError(
                std::string("configuration: '").append(path_).append("' ").append(problem));
        fail(problem);
    }
    if (!file_.parse(text_)) fail("is not valid JSON");
    const json::Value file = file_.root().with_context("configuration");
    NodeConfig config = parse_node_config(file, environment_);
    // The system may allow fewer descriptors than the file.
    config.max_descriptors = system_.descriptor_limit(config.max_descriptors);
    if (config.max_descriptors < min_descriptors)
        throw json::Malformed(
            "configuration: of the descriptors in field 'sockets', the system allows only " +
            std::to_string(config.max_descriptors) + "; a node needs at least 32 to serve");
    return config;
}

}  // namespace lemonstair::config
