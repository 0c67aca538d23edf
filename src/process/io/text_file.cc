#include "process/io/text_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace mangodoor {

std::string ReadTextFile(const std::string& path, size_t max_bytes) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  std::string text(max_bytes + 1, '\0');
  // Opening a directory succeeds; only reading from it fails.
  if (file)
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    const char* reason = errno != 0 ? std::strerror(errno) : "unknown reason";
    throw std::runtime_error(path + ": cannot be read: " + reason);
  }
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    throw std::runtime_error(path + ": larger than " +
                             std::to_string(max_bytes) + " bytes");
  }
  return text;
}

}  // namespace mangodoor
