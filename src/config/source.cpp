#include "config/source.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "net/fd.h"

namespace lemonstair::config {

namespace {

constexpr std::size_t longest_file = 8 << 20;

}  // namespace

// What is no plain file, as a pipe that nobody writes to, would hold up all that the node serves meanwhile.
Launch Source::read() {
    const auto fail = [&](const char* what) {
        throw json::Malformed(std::string("configuration: '").append(path_).append("' ").append(what));
    };
    const net::Fd fd(::open(path_.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
    struct stat is {};
    if (!fd.open() || ::fstat(fd.get(), &is) != 0) fail("cannot be read");
    if (!S_ISREG(is.st_mode)) fail("is no plain file");
    if (static_cast<std::size_t>(is.st_size) > longest_file) fail("is too long");
    text_.resize(static_cast<std::size_t>(is.st_size));
    for (std::size_t at = 0; at < text_.size();) {
        const ssize_t n = ::read(fd.get(), text_.data() + at, text_.size() - at);
        if (n < 0) fail("cannot be read");
        if (n == 0) text_.resize(at);
        at += static_cast<std::size_t>(n);
    }
    if (!file_.parse(text_)) fail("is not JSON");
    return read_launch(file_.root().told_as("configuration"));
}

}  // namespace lemonstair::config
