#include "process_harness/interrupt.h"

#include <csignal>
#include <initializer_list>

namespace lemonstair::process_harness {

namespace {

volatile bool stop = false;

}  // namespace

const volatile bool& stop_on_signals() {
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGINT, SIGTERM, SIGHUP}) std::signal(number, [](int) { stop = true; });
    return stop;
}

}  // namespace lemonstair::process_harness
