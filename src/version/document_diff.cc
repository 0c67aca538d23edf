#include "version/document_diff.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

#include "version/document_names.h"
#include "version/utc_time.h"

namespace mangodoor {
namespace {

using Lines = std::vector<std::string>;
using std::chrono::milliseconds;

std::string ToText(double number) {
  std::ostringstream text;
  text.precision(10);
  text << number;
  return text.str();
}

std::string ToText(int64_t number) {
  return std::to_string(number);
}

std::string ToText(milliseconds duration) {
  return std::to_string(duration.count()) + " ms";
}

std::string ToText(const std::string& text) {
  return text.empty() ? "none" : text;
}

template <typename Tag>
std::string ToText(const StrongId<Tag>& id) {
  return id.value();
}

std::string YesNo(bool flag) {
  return flag ? "yes" : "no";
}

// Adds "subject: name before -> after" if the two differ.
template <typename Value>
void AddChange(Lines& lines,
               const std::string& subject,
               const char* name,
               const Value& before,
               const Value& after,
               const char* unit = "") {
  if (before == after)
    return;
  lines.push_back(subject + ": " + name + " " + ToText(before) + unit + " -> " +
                  ToText(after) + unit);
}

template <typename Entry>
using ByName = std::map<std::string, const Entry*>;

template <typename Entry, typename NameOf>
ByName<Entry> IndexByName(const std::vector<Entry>& entries, NameOf name_of) {
  ByName<Entry> index;
  for (const Entry& entry : entries)
    index[name_of(entry)] = &entry;
  return index;
}

// Calls `added`, `removed` or `kept` for each entry of the two lists.
template <typename Entry, typename Added, typename Removed, typename Kept>
void CompareEntries(const ByName<Entry>& before,
                    const ByName<Entry>& after,
                    Added added,
                    Removed removed,
                    Kept kept) {
  for (const auto& [name, entry] : before) {
    const auto found = after.find(name);
    if (found == after.end())
      removed(*entry);
    else
      kept(*entry, *found->second);
  }
  for (const auto& [name, entry] : after) {
    if (before.count(name) == 0)
      added(*entry);
  }
}

template <typename Entry>
std::string IdOf(const Entry& entry) {
  return entry.id.value();
}

std::string Subject(const DataCentre& data_centre) {
  return "data centre " + data_centre.id.value();
}

std::string Subject(const ClientAccount& account) {
  return "client account " + account.id.value();
}

std::string Subject(const Route& route) {
  return "route " + NameOf(route);
}

std::string DescribeSplit(const Route& route) {
  std::string text;
  for (const RoutePart& part : route.split) {
    text += (text.empty() ? "" : ", ") + part.service.value() + ":" +
            std::to_string(part.weight);
  }
  return text;
}

void DescribeEntryAddresses(Lines& lines,
                            const std::string& subject,
                            const std::vector<Endpoint>& before,
                            const std::vector<Endpoint>& after) {
  const auto has = [](const std::vector<Endpoint>& list,
                      const Endpoint& endpoint) {
    return std::find(list.begin(), list.end(), endpoint) != list.end();
  };
  for (const Endpoint& address : before) {
    if (!has(after, address))
      lines.push_back(subject + ": entry address " + ToString(address) +
                      " removed");
  }
  for (const Endpoint& address : after) {
    if (!has(before, address))
      lines.push_back(subject + ": entry address " + ToString(address) +
                      " added");
  }
}

void DescribeDataCentres(Lines& lines,
                         const Document& before,
                         const Document& after) {
  CompareEntries(
      IndexByName(before.data_centres, IdOf<DataCentre>),
      IndexByName(after.data_centres, IdOf<DataCentre>),
      [&](const DataCentre& added) {
        lines.push_back(Subject(added) + " added with " +
                        std::to_string(added.entry_addresses.size()) +
                        " entry addresses, " +
                        (added.in_service ? "in service" : "out of service"));
      },
      [&](const DataCentre& removed) {
        lines.push_back(Subject(removed) + " removed");
      },
      [&](const DataCentre& old_entry, const DataCentre& new_entry) {
        if (old_entry.in_service != new_entry.in_service) {
          lines.push_back(Subject(new_entry) + (new_entry.in_service
                                                    ? " brought into service"
                                                    : " taken out of service"));
        }
        AddChange(lines, Subject(new_entry), "region", old_entry.region,
                  new_entry.region);
        DescribeEntryAddresses(lines, Subject(new_entry),
                               old_entry.entry_addresses,
                               new_entry.entry_addresses);
      });
}

void DescribeServers(Lines& lines,
                     const Service& before,
                     const Service& after) {
  const auto subject = [&](const BackendServer& server) {
    return "service " + after.id.value() + ", backend server " +
           server.id.value();
  };
  CompareEntries(
      IndexByName(before.servers, IdOf<BackendServer>),
      IndexByName(after.servers, IdOf<BackendServer>),
      [&](const BackendServer& added) {
        lines.push_back(subject(added) + " added at " +
                        ToString(added.endpoint));
      },
      [&](const BackendServer& removed) {
        lines.push_back(subject(removed) + " removed");
      },
      [&](const BackendServer& old_entry, const BackendServer& new_entry) {
        const std::string name = subject(new_entry);
        AddChange(lines, name, "data centre", old_entry.data_centre,
                  new_entry.data_centre);
        AddChange(lines, name, "endpoint", ToString(old_entry.endpoint),
                  ToString(new_entry.endpoint));
        AddChange(lines, name, "slots", int64_t{old_entry.slots},
                  int64_t{new_entry.slots});
        AddChange(lines, name, "connection limit",
                  int64_t{old_entry.connection_limit},
                  int64_t{new_entry.connection_limit});
        AddChange(lines, name, "mode", std::string(Name(old_entry.mode)),
                  std::string(Name(new_entry.mode)));
      });
}

void DescribeService(Lines& lines,
                     const Service& before,
                     const Service& after) {
  const std::string subject = "service " + after.id.value();
  AddChange(lines, subject, "cold concurrency",
            int64_t{before.cold_concurrency}, int64_t{after.cold_concurrency});
  AddChange(lines, subject, "ramp", before.ramp, after.ramp);
  AddChange(lines, subject, "longest cold time", before.cold_max,
            after.cold_max);
  AddChange(lines, subject, "probe budget", before.probe_budget_per_s,
            after.probe_budget_per_s, "/s");
  AddChange(lines, subject, "queue limit", int64_t{before.queue_limit},
            int64_t{after.queue_limit});
  DescribeServers(lines, before, after);
}

void DescribeServices(Lines& lines,
                      const Document& before,
                      const Document& after) {
  CompareEntries(
      IndexByName(before.services, IdOf<Service>),
      IndexByName(after.services, IdOf<Service>),
      [&](const Service& added) {
        lines.push_back("service " + added.id.value() + " added with " +
                        std::to_string(added.servers.size()) +
                        " backend servers");
      },
      [&](const Service& removed) {
        lines.push_back("service " + removed.id.value() + " removed");
      },
      [&](const Service& old_entry, const Service& new_entry) {
        DescribeService(lines, old_entry, new_entry);
      });
}

void DescribeRoutes(Lines& lines,
                    const Document& before,
                    const Document& after) {
  const auto prefix_of = [](const Route& route) { return NameOf(route); };
  CompareEntries(
      IndexByName(before.routes, prefix_of),
      IndexByName(after.routes, prefix_of),
      [&](const Route& added) {
        lines.push_back(Subject(added) + " added to service " +
                        added.service.value() +
                        (added.open ? ", open to callers without a key" : ""));
      },
      [&](const Route& removed) {
        lines.push_back(Subject(removed) + " removed");
      },
      [&](const Route& old_entry, const Route& new_entry) {
        const std::string subject = Subject(new_entry);
        AddChange(lines, subject, "service", old_entry.service,
                  new_entry.service);
        AddChange(lines, subject, "open", YesNo(old_entry.open),
                  YesNo(new_entry.open));
        AddChange(lines, subject, "split", DescribeSplit(old_entry),
                  DescribeSplit(new_entry));
        AddChange(lines, subject, "repeats",
                  std::string(Name(old_entry.retry_rule)),
                  std::string(Name(new_entry.retry_rule)));
        AddChange(lines, subject, "time limit", old_entry.timeout,
                  new_entry.timeout);
        AddChange(lines, subject, "target latency", old_entry.target_latency,
                  new_entry.target_latency);
        AddChange(lines, subject, "attempts", int64_t{old_entry.max_attempts},
                  int64_t{new_entry.max_attempts});
        AddChange(lines, subject, "priority", int64_t{old_entry.priority},
                  int64_t{new_entry.priority});
      });
}

void DescribeAccounts(Lines& lines,
                      const Document& before,
                      const Document& after) {
  CompareEntries(
      IndexByName(before.client_accounts, IdOf<ClientAccount>),
      IndexByName(after.client_accounts, IdOf<ClientAccount>),
      [&](const ClientAccount& added) {
        lines.push_back(Subject(added) + " added with rate " +
                        ToText(added.rate_per_s) + "/s and burst " +
                        ToText(added.burst));
      },
      [&](const ClientAccount& removed) {
        lines.push_back(Subject(removed) + " removed");
      },
      [&](const ClientAccount& old_entry, const ClientAccount& new_entry) {
        const std::string subject = Subject(new_entry);
        AddChange(lines, subject, "rate", old_entry.rate_per_s,
                  new_entry.rate_per_s, "/s");
        AddChange(lines, subject, "burst", old_entry.burst, new_entry.burst);
        AddChange(lines, subject, "weight", int64_t{old_entry.weight},
                  int64_t{new_entry.weight});
      });
}

void DescribeKeys(Lines& lines, const Document& before, const Document& after) {
  const auto digest_of = [](const ApiKey& key) { return key.digest; };
  const auto subject = [](const ApiKey& key) {
    return "key " + ShortDigest(key.digest);
  };
  CompareEntries(
      IndexByName(before.keys, digest_of), IndexByName(after.keys, digest_of),
      [&](const ApiKey& added) {
        lines.push_back(subject(added) + " issued to client account " +
                        added.client_account.value());
      },
      [&](const ApiKey& removed) {
        lines.push_back(subject(removed) + " withdrawn from client account " +
                        removed.client_account.value());
      },
      [&](const ApiKey& old_entry, const ApiKey& new_entry) {
        AddChange(lines, subject(new_entry), "client account",
                  old_entry.client_account, new_entry.client_account);
      });
}

std::string DescribePlannedChange(const PlannedChange& change) {
  const bool is_key = change.kind == ChangeKind::kKeyWithdraw;
  return std::string(Name(change.kind)) + " of " +
         (is_key ? ShortDigest(change.target) : change.target) + " at " +
         FormatUtcTime(change.at);
}

void DescribePlannedChanges(Lines& lines,
                            const Document& before,
                            const Document& after) {
  const auto name_of = [](const PlannedChange& change) {
    return FormatUtcTime(change.at) + Name(change.kind) + change.target;
  };
  CompareEntries(
      IndexByName(before.planned_changes, name_of),
      IndexByName(after.planned_changes, name_of),
      [&](const PlannedChange& added) {
        lines.push_back("planned: " + DescribePlannedChange(added));
      },
      [&](const PlannedChange& removed) {
        lines.push_back("no longer planned: " + DescribePlannedChange(removed));
      },
      [](const PlannedChange&, const PlannedChange&) {});
}

}  // namespace

std::vector<std::string> DescribeChanges(const Document& before,
                                         const Document& after) {
  Lines lines;
  AddChange(lines, "document", "admission wait", before.admission_wait,
            after.admission_wait);
  AddChange(lines, "document", "address keep time", before.address_keep,
            after.address_keep);
  DescribeDataCentres(lines, before, after);
  DescribeServices(lines, before, after);
  DescribeRoutes(lines, before, after);
  DescribeAccounts(lines, before, after);
  DescribeKeys(lines, before, after);
  DescribePlannedChanges(lines, before, after);
  return lines;
}

std::string Summarise(const Document& document) {
  size_t entry_addresses = 0;
  size_t servers = 0;
  for (const DataCentre& data_centre : document.data_centres)
    entry_addresses += data_centre.entry_addresses.size();
  for (const Service& service : document.services)
    servers += service.servers.size();
  const auto count = [](size_t number, const char* what) {
    return std::to_string(number) + " " + what;
  };
  return "version " + std::to_string(document.version) + ": " +
         count(document.data_centres.size(), "data centres, ") +
         count(entry_addresses, "entry addresses, ") +
         count(document.services.size(), "services, ") +
         count(servers, "backend servers, ") +
         count(document.routes.size(), "routes, ") +
         count(document.client_accounts.size(), "client accounts, ") +
         count(document.keys.size(), "keys, ") +
         count(document.planned_changes.size(), "planned changes");
}

}  // namespace mangodoor
