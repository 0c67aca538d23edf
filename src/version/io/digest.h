#ifndef VERSION_IO_DIGEST_H_
#define VERSION_IO_DIGEST_H_

#include <string>
#include <string_view>

namespace mangodoor {

/** SHA-256 as 64 lower-case hexadecimal digits. */
std::string Sha256Hex(std::string_view data);

}  // namespace mangodoor

#endif  // VERSION_IO_DIGEST_H_
