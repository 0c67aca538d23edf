#include "request/authorisation.h"

#include <algorithm>

namespace mangodoor {
namespace {

Authorisation Reject(ErrorKind error) {
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
    return Reject(ErrorKind::kRouteUnknown);
  Authorisation result;
  result.route = route;
  if (route->open)
    return result;
  if (key_digest.empty())
    return Reject(ErrorKind::kKeyMissing);
  auto key = version.keys_by_digest.find(key_digest);
  if (key == version.keys_by_digest.end())
    return Reject(ErrorKind::kKeyUnknown);
  auto account = version.accounts_by_id.find(key->second->client_account);
  if (account == version.accounts_by_id.end())
    return Reject(ErrorKind::kKeyUnknown);
  result.client_account = account->second;
  return result;
}

int PriorityOf(const Authorisation& authorisation) {
  const ClientAccount* account = authorisation.client_account;
  return account && account->priority ? *account->priority
                                      : authorisation.route->priority;
}

ServiceId PickService(const Route& route, uint64_t random) {
  if (route.split.empty())
    return route.service;
  uint64_t weights = 0;
  for (const RoutePart& part : route.split)
    weights += static_cast<uint64_t>(part.weight);
  uint64_t position = random % std::max<uint64_t>(1, weights);
  for (const RoutePart& part : route.split) {
    const auto weight = static_cast<uint64_t>(part.weight);
    if (position < weight)
      return part.service;
    position -= weight;
  }
  return route.split.back().service;
}

bool MaySendTo(const Route& route, const ServiceId& service) {
  if (route.split.empty())
    return route.service == service;
  return std::any_of(route.split.begin(), route.split.end(),
                     [&service](const RoutePart& part) {
                       return part.service == service && part.weight > 0;
                     });
}

}  // namespace mangodoor
