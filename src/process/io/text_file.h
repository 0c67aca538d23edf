#ifndef PROCESS_IO_TEXT_FILE_H_
#define PROCESS_IO_TEXT_FILE_H_

#include <cstddef>
#include <string>

namespace mangodoor {

/**
 * Reads a whole file. Throws std::runtime_error with the path and the reason
 * if the file cannot be read or is larger than `max_bytes`.
 */
std::string ReadTextFile(const std::string& path, size_t max_bytes);

}  // namespace mangodoor

#endif  // PROCESS_IO_TEXT_FILE_H_
