#ifndef REQUEST_AUTHORISATION_H_
#define REQUEST_AUTHORISATION_H_

#include <optional>
#include <string_view>

#include "process/error_kind.h"
#include "version/version.h"

namespace mangodoor {

/** The route of a request, and the client account that it runs for. */
struct Authorisation {
  const Route* route = nullptr;
  /** Null on an open route. */
  const ClientAccount* client_account = nullptr;
  /** Set if the request is rejected. */
  std::optional<ErrorKind> error;
};

/**
 * Finds the route of `host` and `path`, and the client account of the key.
 * `key_digest` is the SHA-256 of the key in hexadecimal, or empty if the
 * request has no key.
 */
Authorisation Authorise(const Version& version,
                        std::string_view host,
                        std::string_view path,
                        const std::string& key_digest);

/**
 * The client account's priority, or the route's if the account has none. 0 is
 * the highest.
 */
int PriorityOf(const Authorisation& authorisation);

/**
 * Picks a service of the route by weight. `random` is uniform over all 64-bit
 * values.
 */
ServiceId PickService(const Route& route, uint64_t random);

/** True if the route may send requests to the service. */
bool MaySendTo(const Route& route, const ServiceId& service);

}  // namespace mangodoor

#endif  // REQUEST_AUTHORISATION_H_
