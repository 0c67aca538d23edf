#include "request/authorisation.h"

namespace mangodoor {
namespace {

Authorisation Refuse(ErrorKind error) {
  Authorisation result;
  result.error = error;
  return result;
}

}  // namespace

Authorisation Authorise(const Version& version,
                        std::string_view host,
                        std::string_view path,
                        const std::string& key_digest) {
  const Route* route = FindRoute(version, host, path);
  if (!route)
    return Refuse(ErrorKind::kRouteUnknown);
  Authorisation result;
  result.route = route;
  if (route->open)
    return result;
  if (key_digest.empty())
    return Refuse(ErrorKind::kKeyMissing);
  auto key = version.keys_by_digest.find(key_digest);
  if (key == version.keys_by_digest.end())
    return Refuse(ErrorKind::kKeyUnknown);
  auto account = version.accounts_by_id.find(key->second->client_account);
  if (account == version.accounts_by_id.end())
    return Refuse(ErrorKind::kKeyUnknown);
  result.client_account = account->second;
  return result;
}

}  // namespace mangodoor
