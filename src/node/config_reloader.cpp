#include "node/config_reloader.h"

#include <utility>

#include "config/source.h"

namespace lemonstair::node {

namespace {

// A discovery service that has moved must be in use 4 s after SIGHUP, and retries take up part of that time.
constexpr Ticks retry_interval = 2500;
// How long an invalid file is read again, from when it could be read.
constexpr Ticks retry_for = 25000;

}  // namespace

void ConfigReloader::reload() {
    retry_until_ = loop_.now() + retry_for;
    attempt_reload(Attempt::first);
}

void ConfigReloader::reload_deferred() {
    if (std::exchange(deferred_, false)) reload();
}

void ConfigReloader::attempt_reload(Attempt attempt) {
    retry_at_ = 0;
    if (const Result result = try_reload(attempt); result != Result::reloaded) schedule_retry(result);
}

void ConfigReloader::schedule_retry(Result last) {
    const Ticks next = loop_.now() + retry_interval;
    if (last == Result::unreadable) retry_until_ = loop_.now() + retry_for;
    if (next > retry_until_) {
        log_.error() << "configuration reload given up: the file stays invalid";
        return;
    }
    retry_at_ = next;
    loop_.schedule(retry_at_, *this, 0);
}

void ConfigReloader::on_timer(std::uint64_t) {
    // A later SIGHUP may have ended or restarted the retries; then this timer is outdated.
    if (retry_at_ == 0 || loop_.now() < retry_at_) return;
    attempt_reload(Attempt::retry);
}

ConfigReloader::Result ConfigReloader::try_reload(Attempt attempt) {
    std::string restart_keys;
    try {
        restart_keys = config::apply_reload(config_, read_());
    } catch (const config::TransientReadError& error) {
        log_failure(attempt, error);
        return Result::unreadable;
    } catch (const json::Malformed& error) {
        log_failure(attempt, error);
        return Result::invalid;
    }
    on_reloaded_(restart_keys);
    return Result::reloaded;
}

void ConfigReloader::log_failure(Attempt attempt, const json::Malformed& error) {
    if (attempt == Attempt::first)
        log_.error() << "configuration reload failed, the old configuration stays in force: " << error.what();
    log_.debug() << "configuration cannot be reloaded yet: " << error.what();
}

}  // namespace lemonstair::node
