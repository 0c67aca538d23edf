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
 * A document with the indexes that requests need. Immutable, and shared by the
 * requests that use it; freed when it has been replaced and the last of these
 * requests has ended.
 */
struct Version {
  Document document;
  /** SHA-256 of `text`, in hexadecimal. */
  std::string digest;
  /** The text of the document as received, for peers that request it. */
  std::string text;
  std::unordered_map<std::string, const ApiKey*> keys_by_digest;
  std::unordered_map<ServiceId, const Service*> services_by_id;
  std::unordered_map<ClientAccountId, const ClientAccount*> accounts_by_id;
  std::unordered_map<DataCentreId, const DataCentre*> data_centres_by_id;
  /** Routes of each host, longest prefix first; "" stands for all hosts. */
  std::unordered_map<std::string, std::vector<const Route*>> routes_by_host;
  /** Entry addresses of all data centres in service, sorted. */
  std::vector<Endpoint> entry_addresses;
};

using VersionPtr = std::shared_ptr<const Version>;

/** Builds the indexes. `document` must have been checked. */
VersionPtr MakeVersion(Document document, std::string digest, std::string text);

/**
 * The route with the longest prefix of `path`, or null. Routes of `host` take
 * precedence over those of all hosts. A prefix matches whole segments only:
 * "/orders" matches "/orders" and "/orders/7", not "/ordersheet".
 */
const Route* FindRoute(const Version& version,
                       std::string_view host,
                       std::string_view path);

/**
 * Services to which the routes of `host` send requests, each once. Routes for
 * all hosts are not included, nor parts of a split with weight 0.
 */
std::vector<ServiceId> ServicesOf(const Version& version,
                                  std::string_view host);

}  // namespace mangodoor

#endif  // VERSION_VERSION_H_
