// One process of the program, started, stopped and ended by its id. Its configuration is a file that exists
// in memory only; it dies with this process, however that one ends.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "net/fd.h"

namespace lemonstair::process_harness {

class Process {
  public:
    // `environment`: "NAME=value", beside the variables for its configuration.
    // Throws std::system_error where it cannot be started. No log folder: its output is discarded.
    Process(const std::string& program, const std::string& name, const std::string& configuration,
            const std::string& log_folder, const std::vector<std::string>& environment = {});
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    ~Process();

    void signal(int number) const;
    void configure(const std::string& text) const;
    // Whether it still runs; once it does not, how it ended.
    bool runs();
    bool ended_well() const { return status_ == 0; }
    std::string how_it_ended() const;

    struct Used {
        double processor_s = 0;  // of a core
        double waited_s = 0;     // ready to run, and no core was free
        std::uint64_t memory_kb = 0;
    };
    Used used() const;

  private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool over_ = false;
    net::Fd file_;
};

}  // namespace lemonstair::process_harness
