#ifndef REQUEST_AUTHORISATION_H_
#define REQUEST_AUTHORISATION_H_

#include <optional>
#include <string_view>

#include "process/error_kind.h"
#include "version/version.h"

namespace mangodoor {

/** Which route a request takes, and for whom it runs. */
struct Authorisation {
  const Route* route = nullptr;
  /** Null on an open route. */
  const ClientAccount* client_account = nullptr;
  /** Set when the request must not run. */
  std::optional<ErrorKind> error;
};

/**
 * Finds the route of `host` and `path`, and the client account of the key.
 * `key_digest` is the SHA-256 of the key in hexadecimal, empty if none was
 * presented.
 */
Authorisation Authorise(const Version& version,
                        std::string_view host,
                        std::string_view path,
                        const std::string& key_digest);

/** The account's priority, or else the route's; 0 goes first. */
int PriorityOf(const Authorisation& authorisation);

/** The service that runs a request of the route; `random` is uniform. */
ServiceId PickService(const Route& route, uint64_t random);

/** True if the route may send requests to the service. */
bool MaySendTo(const Route& route, const ServiceId& service);

}  // namespace mangodoor

#endif  // REQUEST_AUTHORISATION_H_
