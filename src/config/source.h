/// The configuration file, which is read at the start of the node and again at each reload.
#pragma once

#include <string>

#include "config/node_config.h"
#include "json/json.h"
#include "net/system.h"

namespace lemonstair::config {

/// The file could not be read because of a lack of resources or an I/O error. A retry may succeed.
struct TransientReadError : json::Malformed {
    using json::Malformed::Malformed;
};

/// Reads and decodes the configuration file at `path`.
class ConfigSource {
  public:
    ConfigSource(net::System& system, std::string path, const Environment& environment = {})
        : system_(system), path_(std::move(path)), environment_(environment) {}
    // Reads the file. Throws json::Malformed, which names the file or the invalid key, or TransientReadError.
    NodeConfig read();
    // The endpoint list in the file as read last, valid until the next read(). A null value where the file
    // has no such list.
    json::Value known_endpoints() const { return file_.root().object("known"); }

  private:
    net::System& system_;
    std::string path_, text_;
    Environment environment_;
    json::Document file_;
};

}  // namespace lemonstair::config
