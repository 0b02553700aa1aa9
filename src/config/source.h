// The configuration file: read at the start, and again at each reload.
#pragma once

#include <string>

#include "config/node_config.h"
#include "json/json.h"
#include "net/system.h"

namespace lemonstair::config {

// The file could not be read for want of resources or an I/O error; a retry may succeed.
struct TransientReadError : json::Malformed {
    using json::Malformed::Malformed;
};

class ConfigSource {
  public:
    ConfigSource(net::System& system, std::string path, const Environment& environment = {})
        : system_(system), path_(std::move(path)), environment_(environment) {}
    // Throws json::Malformed, which names the file or the faulty key, or TransientReadError.
    NodeConfig read();
    // The endpoint list in the file as last read, valid until the next read(); null where it has none.
    json::Value known_endpoints() const { return file_.root().object("known"); }

  private:
    net::System& system_;
    std::string path_, text_;
    Environment environment_;
    json::Document file_;
};

}  // namespace lemonstair::config
