#ifndef REQUEST_STATUS_CODE_H_
#define REQUEST_STATUS_CODE_H_

namespace mangodoor {

/**
 * True if a response with this status is followed by another one to the same
 * request (RFC 9110, section 15).
 */
constexpr bool IsInterimStatus(unsigned status) {
  return status >= 100 && status < 200;
}

/**
 * True if a response with this status answers its request. A head can state any
 * number of three digits; one that is neither final nor interim is no response.
 */
constexpr bool IsFinalStatus(unsigned status) {
  return status >= 200 && status < 600;
}

}  // namespace mangodoor

#endif  // REQUEST_STATUS_CODE_H_
