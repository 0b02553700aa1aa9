#include "node/config_reloader.h"

#include <utility>

namespace lemonstair::node {

namespace {

// A discovery service that has moved must be in use 4 s after SIGHUP, and retries take up part of that time.
constexpr Ticks retry_interval = 2500, retry_for = 25000;

}  // namespace

void ConfigReloader::reload() {
    retry_at_ = 0;
    retry_until_ = loop_.now() + retry_for;
    if (!try_reload(Attempt::first)) schedule_retry();
}

void ConfigReloader::reload_deferred() {
    if (std::exchange(deferred_, false)) reload();
}

void ConfigReloader::schedule_retry() {
    retry_at_ = loop_.now() + retry_interval;
    if (retry_at_ <= retry_until_) loop_.schedule(retry_at_, *this, 0);
}

void ConfigReloader::on_timer(std::uint64_t) {
    // A later SIGHUP may have ended or restarted the retries; then this timer is outdated.
    if (retry_at_ == 0 || loop_.now() < retry_at_) return;
    retry_at_ = 0;
    if (!try_reload(Attempt::retry)) schedule_retry();
}

// Returns false if the file cannot be read or is invalid.
bool ConfigReloader::try_reload(Attempt attempt) {
    std::string restart_keys;
    try {
        restart_keys = config::apply_reload(config_, read_());
    } catch (const json::Malformed& error) {
        if (attempt == Attempt::first)
            log_.error() << "configuration reload failed, the old configuration stays in force: "
                         << error.what();
        log_.debug() << "configuration cannot be read, retried for a few seconds after SIGHUP: "
                     << error.what();
        return false;
    }
    on_reloaded_(restart_keys);
    return true;
}

}  // namespace lemonstair::node
