#include "version/version.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangodoor {
namespace {

void IndexRoutes(Version& version) {
  for (const Route& route : version.document.routes)
    version.routes_by_host[route.host].push_back(&route);
  for (auto& [host, routes] : version.routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
}

void IndexDataCentres(Version& version) {
  for (const DataCentre& data_centre : version.document.data_centres) {
    version.data_centres_by_id[data_centre.id] = &data_centre;
    if (!data_centre.in_service)
      continue;
    version.entry_addresses.insert(version.entry_addresses.end(),
                                   data_centre.entry_addresses.begin(),
                                   data_centre.entry_addresses.end());
  }
  std::sort(version.entry_addresses.begin(), version.entry_addresses.end());
}

bool HasPrefix(std::string_view path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix)
    return false;
  if (path.size() == prefix.size() || prefix.back() == '/')
    return true;
  const char next = path[prefix.size()];
  return next == '/' || next == '?';
}

const Route* FindRouteOfHost(const Version& version,
                             const std::string& host,
                             std::string_view path) {
  const auto routes = version.routes_by_host.find(host);
  if (routes == version.routes_by_host.end())
    return nullptr;
  for (const Route* route : routes->second) {
    if (HasPrefix(path, route->path_prefix))
      return route;
  }
  return nullptr;
}

/** The host name of a Host header: in lower case, without the port. */
std::string NormalisedHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  if (colon != std::string_view::npos &&
      host.find_first_not_of("0123456789", colon + 1) == std::string_view::npos)
    host = host.substr(0, colon);
  std::string name(host);
  for (char& letter : name) {
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter - 'A' + 'a');
  }
  return name;
}

}  // namespace

VersionPtr MakeVersion(Document document,
                       std::string digest,
                       std::string text) {
  auto version = std::make_shared<Version>();
  version->document = std::move(document);
  version->digest = std::move(digest);
  version->text = std::move(text);
  for (const ApiKey& key : version->document.keys)
    version->keys_by_digest[key.digest] = &key;
  for (const Service& service : version->document.services)
    version->services_by_id[service.id] = &service;
  for (const ClientAccount& account : version->document.client_accounts)
    version->accounts_by_id[account.id] = &account;
  IndexDataCentres(*version);
  IndexRoutes(*version);
  return version;
}

const Route* FindRoute(const Version& version,
                       std::string_view host,
                       std::string_view path) {
  const std::string name = NormalisedHost(host);
  const Route* route = FindRouteOfHost(version, name, path);
  return route || name.empty() ? route : FindRouteOfHost(version, "", path);
}

std::vector<ServiceId> ServicesOf(const Version& version,
                                  std::string_view host) {
  std::set<ServiceId> services;
  const auto routes = version.routes_by_host.find(NormalisedHost(host));
  if (routes == version.routes_by_host.end())
    return {};
  for (const Route* route : routes->second) {
    if (route->split.empty())
      services.insert(route->service);
    for (const RoutePart& part : route->split) {
      if (part.weight > 0)
        services.insert(part.service);
    }
  }
  return {services.begin(), services.end()};
}

}  // namespace mangodoor
