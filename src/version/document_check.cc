#include "version/document_check.h"

#include <algorithm>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>

#include "version/document_names.h"
#include "version/field_check.h"

namespace mangodoor {
namespace {

// Ids, digests, prefixes or endpoints already used, each with the path of its
// first use.
using SeenNames = std::unordered_map<std::string, std::string>;

struct Checker {
  const Document& document;
  std::vector<Fault> faults;
  SeenNames data_centres;
  SeenNames services;
  SeenNames servers;
  SeenNames accounts;
  SeenNames key_digests;
  SeenNames route_prefixes;
  SeenNames endpoints;
};

FieldContext ContextAt(Checker& checker, std::string path) {
  return {std::move(path), checker.faults};
}

std::string ItemPath(const std::string& list, size_t index) {
  return list + "/" + std::to_string(index);
}

void CheckUnique(const FieldContext& context,
                 const std::string& name,
                 const std::string& shown,
                 SeenNames& seen) {
  const auto [first_use, is_new] = seen.emplace(name, context.path);
  if (!is_new) {
    context.faults.push_back(
        {context.path, shown,
         "a value not used before; it is used at " + first_use->second});
  }
}

void CheckId(const FieldContext& context,
             const std::string& id,
             SeenNames& seen) {
  CheckName(context, id);
  CheckUnique(context, id, Quoted(id), seen);
}

void CheckReference(const FieldContext& context,
                    const std::string& name,
                    const SeenNames& known,
                    const char* what) {
  if (known.count(name) == 0) {
    context.faults.push_back(
        {context.path, Quoted(name),
         std::string("the id of a ") + what + " of this document"});
  }
}

void CheckUniqueEndpoint(Checker& checker,
                         const std::string& path,
                         const Endpoint& endpoint) {
  const FieldContext context = ContextAt(checker, path);
  CheckEndpoint(context, endpoint);
  const std::string text = ToString(endpoint);
  CheckUnique(context, text, Quoted(text), checker.endpoints);
}

void CheckDataCentres(Checker& checker) {
  size_t entry_addresses_in_service = 0;
  for (size_t i = 0; i < checker.document.data_centres.size(); ++i) {
    const DataCentre& data_centre = checker.document.data_centres[i];
    const std::string path = ItemPath("/data_centres", i);
    CheckId(ContextAt(checker, path + "/id"), data_centre.id.value(),
            checker.data_centres);
    if (!data_centre.region.empty())
      CheckName(ContextAt(checker, path + "/region"), data_centre.region);
    const auto& addresses = data_centre.entry_addresses;
    for (size_t j = 0; j < addresses.size(); ++j)
      CheckUniqueEndpoint(checker, ItemPath(path + "/entry_addresses", j),
                          addresses[j]);
    if (data_centre.in_service)
      entry_addresses_in_service += addresses.size();
  }
  if (entry_addresses_in_service == 0 &&
      checker.document.limit_policy == LimitPolicy::kEntryAddresses) {
    checker.faults.push_back(
        {"/data_centres", "none in service has an entry address",
         "at least one data centre in service with an entry address"});
  }
}

void CheckServer(Checker& checker,
                 const std::string& path,
                 const BackendServer& server) {
  CheckId(ContextAt(checker, path + "/id"), server.id.value(), checker.servers);
  CheckReference(ContextAt(checker, path + "/data_centre"),
                 server.data_centre.value(), checker.data_centres,
                 "data centre");
  CheckUniqueEndpoint(checker, path + "/endpoint", server.endpoint);
  CheckRange(ContextAt(checker, path + "/slots"), int64_t{server.slots},
             kSlotsRange);
  CheckRange(ContextAt(checker, path + "/connection_limit"),
             int64_t{server.connection_limit}, kConnectionLimitRange);
}

void CheckServices(Checker& checker) {
  for (size_t i = 0; i < checker.document.services.size(); ++i) {
    const Service& service = checker.document.services[i];
    const std::string path = ItemPath("/services", i);
    CheckId(ContextAt(checker, path + "/id"), service.id.value(),
            checker.services);
    CheckRange(ContextAt(checker, path + "/cold_concurrency"),
               int64_t{service.cold_concurrency}, kColdConcurrencyRange);
    CheckRange(ContextAt(checker, path + "/ramp_ms"), service.ramp,
               kRampRangeMs);
    CheckRange(ContextAt(checker, path + "/cold_max_ms"), service.cold_max,
               kColdMaxRangeMs);
    CheckRange(ContextAt(checker, path + "/probe_budget_per_s"),
               service.probe_budget_per_s, kProbeBudgetRange);
    CheckRange(ContextAt(checker, path + "/queue_limit"),
               int64_t{service.queue_limit}, kQueueLimitRange);
    CheckPathPrefix(ContextAt(checker, path + "/health_path"),
                    service.health_path);
    CheckRange(ContextAt(checker, path + "/connection_limit"),
               int64_t{service.connection_limit}, kConnectionLimitRange);
    CheckRange(ContextAt(checker, path + "/cold_time_ms"), service.cold_time,
               kColdTimeRangeMs);
    CheckRange(ContextAt(checker, path + "/cold_rate_per_s"),
               service.cold_rate_per_s, kColdRateRange);
    if (service.servers.empty() && !service.discovered) {
      checker.faults.push_back(
          {path + "/servers", "an empty list", "at least one backend server"});
    }
    for (size_t j = 0; j < service.servers.size(); ++j)
      CheckServer(checker, ItemPath(path + "/servers", j), service.servers[j]);
  }
}

void CheckRouteServices(Checker& checker,
                        const std::string& path,
                        const Route& route) {
  if (route.split.empty()) {
    CheckReference(ContextAt(checker, path + "/service"), route.service.value(),
                   checker.services, "service");
    return;
  }
  if (!route.service.empty()) {
    checker.faults.push_back({path + "/service", Quoted(route.service.value()),
                              "nothing, as \"split\" names the services"});
  }
  int64_t total_weight = 0;
  for (size_t i = 0; i < route.split.size(); ++i) {
    const RoutePart& part = route.split[i];
    const std::string part_path = ItemPath(path + "/split", i);
    CheckReference(ContextAt(checker, part_path + "/service"),
                   part.service.value(), checker.services, "service");
    CheckRange(ContextAt(checker, part_path + "/weight"), int64_t{part.weight},
               kPartWeightRange);
    total_weight += part.weight;
  }
  if (total_weight <= 0) {
    checker.faults.push_back(
        {path + "/split", "no weight above 0", "at least one weight above 0"});
  }
}

void CheckRoutes(Checker& checker) {
  for (size_t i = 0; i < checker.document.routes.size(); ++i) {
    const Route& route = checker.document.routes[i];
    const std::string path = ItemPath("/routes", i);
    const FieldContext prefix = ContextAt(checker, path + "/path_prefix");
    CheckPathPrefix(prefix, route.path_prefix);
    CheckHost(ContextAt(checker, path + "/host"), route.host);
    CheckUnique(prefix, NameOf(route), Quoted(NameOf(route)),
                checker.route_prefixes);
    CheckRouteServices(checker, path, route);
    CheckRange(ContextAt(checker, path + "/timeout_ms"), route.timeout,
               kTimeoutRangeMs);
    CheckRange(ContextAt(checker, path + "/target_latency_ms"),
               route.target_latency, kTargetLatencyRangeMs);
    CheckRange(ContextAt(checker, path + "/max_attempts"),
               int64_t{route.max_attempts}, kMaxAttemptsRange);
    CheckRange(ContextAt(checker, path + "/priority"), int64_t{route.priority},
               kPriorityRange);
  }
}

void CheckAccounts(Checker& checker) {
  for (size_t i = 0; i < checker.document.client_accounts.size(); ++i) {
    const ClientAccount& account = checker.document.client_accounts[i];
    const std::string path = ItemPath("/client_accounts", i);
    CheckId(ContextAt(checker, path + "/id"), account.id.value(),
            checker.accounts);
    if (account.limited) {
      CheckRange(ContextAt(checker, path + "/rate_per_s"), account.rate_per_s,
                 kRateRange);
      CheckRange(ContextAt(checker, path + "/burst"), account.burst,
                 kBurstRange);
    }
    if (account.priority)
      CheckRange(ContextAt(checker, path + "/priority"),
                 int64_t{*account.priority}, kPriorityRange);
    CheckRange(ContextAt(checker, path + "/weight"), int64_t{account.weight},
               kWeightRange);
  }
}

// Number of bytes as a signed integer, which is what ranges have.
int64_t ByteCount(uint64_t bytes) {
  return static_cast<int64_t>(
      std::min<uint64_t>(bytes, std::numeric_limits<int64_t>::max()));
}

void CheckLimits(Checker& checker) {
  const CallerLimits& limits = checker.document.limits;
  CheckRange(ContextAt(checker, "/limits/header_bytes"),
             ByteCount(limits.header_bytes), kHeaderBytesRange);
  CheckRange(ContextAt(checker, "/limits/body_bytes"),
             ByteCount(limits.body_bytes), kBodyBytesRange);
  CheckRange(ContextAt(checker, "/limits/header_time_ms"), limits.header_time,
             kHeaderTimeRangeMs);
  CheckRange(ContextAt(checker, "/limits/idle_time_ms"), limits.idle_time,
             kIdleTimeRangeMs);
}

void CheckKeys(Checker& checker) {
  for (size_t i = 0; i < checker.document.keys.size(); ++i) {
    const ApiKey& key = checker.document.keys[i];
    const std::string path = ItemPath("/keys", i);
    const FieldContext digest = ContextAt(checker, path + "/digest");
    CheckDigest(digest, key.digest);
    CheckUnique(digest, key.digest, "a digest given before",
                checker.key_digests);
    CheckReference(ContextAt(checker, path + "/client_account"),
                   key.client_account.value(), checker.accounts,
                   "client account");
  }
}

void CheckChangeTarget(Checker& checker,
                       const FieldContext& context,
                       const PlannedChange& change) {
  switch (change.kind) {
    case ChangeKind::kDataCentreOut:
    case ChangeKind::kDataCentreIn:
      CheckReference(context, change.target, checker.data_centres,
                     "data centre");
      return;
    case ChangeKind::kServerDrain:
    case ChangeKind::kServerActive:
      CheckReference(context, change.target, checker.servers, "backend server");
      return;
    case ChangeKind::kKeyWithdraw:
      if (checker.key_digests.count(change.target) == 0) {
        context.faults.push_back({context.path, Redacted(change.target),
                                  "the digest of a key of this document"});
      }
      return;
  }
}

// Indexes of the planned changes in the order in which they come into force.
// Changes with the same time keep the order of the document.
std::vector<size_t> OrderByTime(const std::vector<PlannedChange>& changes) {
  std::vector<size_t> order(changes.size());
  for (size_t i = 0; i < order.size(); ++i)
    order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return changes[a].at < changes[b].at;
  });
  return order;
}

// Applies the planned changes in order, and rejects each one that takes the
// last data centre with an entry address out of service. Only
// LimitPolicy::kEntryAddresses needs such a data centre.
void CheckPlannedEntryAddresses(Checker& checker) {
  std::set<std::string> in_service;
  std::set<std::string> with_entry_addresses;
  for (const DataCentre& data_centre : checker.document.data_centres) {
    if (data_centre.entry_addresses.empty())
      continue;
    with_entry_addresses.insert(data_centre.id.value());
    if (data_centre.in_service)
      in_service.insert(data_centre.id.value());
  }
  if (checker.document.limit_policy != LimitPolicy::kEntryAddresses)
    return;
  const auto& changes = checker.document.planned_changes;
  for (const size_t index : OrderByTime(changes)) {
    const PlannedChange& change = changes[index];
    if (change.kind == ChangeKind::kDataCentreIn &&
        with_entry_addresses.count(change.target) > 0)
      in_service.insert(change.target);
    if (change.kind == ChangeKind::kDataCentreOut &&
        in_service.erase(change.target) > 0 && in_service.empty()) {
      checker.faults.push_back(
          {ItemPath("/planned_changes", index), Quoted(change.target),
           "a change that leaves a data centre with an entry address in "
           "service"});
    }
  }
}

void CheckPlannedChanges(Checker& checker) {
  const auto& changes = checker.document.planned_changes;
  for (size_t i = 0; i < changes.size(); ++i) {
    CheckChangeTarget(
        checker,
        ContextAt(checker, ItemPath("/planned_changes", i) + "/target"),
        changes[i]);
  }
  CheckPlannedEntryAddresses(checker);
}

}  // namespace

std::vector<Fault> CheckDocument(const Document& document) {
  Checker checker{document, {}, {}, {}, {}, {}, {}, {}, {}};
  // Clamped, because a version above the range may not fit a signed integer.
  const auto version = static_cast<int64_t>(std::min<uint64_t>(
      document.version, std::numeric_limits<int64_t>::max()));
  CheckRange(ContextAt(checker, "/version"), version, kVersionRange);
  CheckRange(ContextAt(checker, "/admission_wait_ms"), document.admission_wait,
             kAdmissionWaitRangeMs);
  CheckRange(ContextAt(checker, "/address_keep_ms"), document.address_keep,
             kAddressKeepRangeMs);
  CheckLimits(checker);
  CheckDataCentres(checker);
  CheckServices(checker);
  CheckRoutes(checker);
  CheckAccounts(checker);
  CheckKeys(checker);
  CheckPlannedChanges(checker);
  return std::move(checker.faults);
}

}  // namespace mangodoor
