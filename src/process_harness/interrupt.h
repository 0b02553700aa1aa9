// Stops a run that takes minutes: SIGINT, SIGTERM or SIGHUP set a flag, and the run ends its processes
// itself.
#pragma once

namespace lemonstair::process_harness {

// Installs the handlers, and ignores SIGPIPE. The flag becomes true at the first of the signals.
const volatile bool& stop_on_signals();

}  // namespace lemonstair::process_harness
