#include "version/io/digest.h"

#include <openssl/evp.h>
#include <array>
#include <stdexcept>

namespace mangodoor {

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned int size = 0;
  if (EVP_Digest(data.data(), data.size(), hash.data(), &size, EVP_sha256(),
                 nullptr) != 1)
    throw std::runtime_error("SHA-256 is not available");
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(size * 2);
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[hash[i] >> 4];
    hex += kDigits[hash[i] & 0xf];
  }
  return hex;
}

}  // namespace mangodoor
