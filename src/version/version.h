#ifndef VERSION_VERSION_H_
#define VERSION_VERSION_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "version/document.h"

namespace mangodoor {

/**
 * A document in force, with the indexes that requests need. Immutable; the
 * last request that uses it frees it.
 */
struct Version {
  Document document;
  /** SHA-256 of the document's text, in hexadecimal. */
  std::string digest;
  /** The text as received, for peers that ask for it. */
  std::string text;
  std::unordered_map<std::string, const ApiKey*> keys_by_digest;
  std::unordered_map<ServiceId, const Service*> services_by_id;
  std::unordered_map<ClientAccountId, const ClientAccount*> accounts_by_id;
  std::unordered_map<DataCentreId, const DataCentre*> data_centres_by_id;
  /** Routes of one host, longest prefix first; "" holds for all hosts. */
  std::unordered_map<std::string, std::vector<const Route*>> routes_by_host;
  /** Entry addresses of all data centres in service, in sorted order. */
  std::vector<Endpoint> entry_addresses;
};

using VersionPtr = std::shared_ptr<const Version>;

/** Builds the indexes. `document` has been checked. */
VersionPtr MakeVersion(Document document, std::string digest, std::string text);

/**
 * The route with the longest prefix of `path`, or null. Routes of `host` go
 * before those of all hosts. A prefix ends at a segment: "/orders" matches
 * "/orders" and "/orders/7", not "/ordersheet".
 */
const Route* FindRoute(const Version& version,
                       std::string_view host,
                       std::string_view path);

/** Services that requests to the host may run at, each once. */
std::vector<ServiceId> ServicesOf(const Version& version,
                                  std::string_view host);

}  // namespace mangodoor

#endif  // VERSION_VERSION_H_
