#include "process/status/io/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <utility>

#include "process/counters.h"
#include "process/status/instance_status.h"

namespace mangodoor {
namespace {

using prometheus::Labels;
using prometheus::Registry;

constexpr double kTokensPerMicroToken = 1.0 / kMicroTokensPerToken;

void AddCounter(Registry& registry,
                const char* name,
                const char* help,
                const std::atomic<uint64_t>& value) {
  prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({})
      .Increment(static_cast<double>(value.load()));
}

prometheus::Family<prometheus::Gauge>& AddGauges(Registry& registry,
                                                 const char* name,
                                                 const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

void AddDataPathCounters(Registry& registry, const Counters& counters) {
  AddCounter(registry, "mangodoor_caller_connections_total",
             "Connections accepted from callers.", counters.caller_connections);
  AddCounter(registry, "mangodoor_requests_total",
             "Requests received from callers.", counters.requests);
  AddCounter(registry, "mangodoor_answered_total",
             "Requests answered with a backend server's response.",
             counters.answered);
  AddCounter(registry, "mangodoor_retries_total",
             "Attempts made after a first one failed.", counters.retries);
  AddCounter(registry, "mangodoor_hedges_total",
             "Second attempts made while a first one was running.",
             counters.hedges);
  AddCounter(registry, "mangodoor_cancelled_total",
             "Requests whose caller went away before the response.",
             counters.cancelled);
  AddCounter(registry, "mangodoor_backend_connections_total",
             "Connections opened to backend servers.",
             counters.backend_connections);
  AddCounter(registry, "mangodoor_backend_reuses_total",
             "Attempts sent on a kept connection.", counters.backend_reuses);
  AddCounter(registry, "mangodoor_probes_total",
             "Health requests sent to backend servers.", counters.probes);
}

void AddControlPlaneCounters(Registry& registry, const Counters& counters) {
  AddCounter(registry, "mangodoor_peer_messages_sent_total",
             "Messages sent to other instances.", counters.peer_messages_sent);
  AddCounter(registry, "mangodoor_peer_messages_received_total",
             "Messages received from other instances.",
             counters.peer_messages_received);
  AddCounter(registry, "mangodoor_peer_bytes_sent_total",
             "Bytes sent to other instances.", counters.peer_bytes_sent);
  AddCounter(registry, "mangodoor_peer_bytes_received_total",
             "Bytes received from other instances.",
             counters.peer_bytes_received);
  // Also counts connections closed because the peer sent too many messages.
  AddCounter(registry, "mangodoor_peer_protocol_errors_total",
             "Connections to other instances closed because of a malformed "
             "or unauthenticated message.",
             counters.peer_protocol_errors);
  // Counts reads when they start, also those of the platform's store.
  AddCounter(registry, "mangodoor_configuration_reads_total",
             "Answers read from the configuration service.",
             counters.configuration_reads);
}

void AddHistogram(Registry& registry,
                  const char* name,
                  const char* help,
                  const DurationHistogram& durations) {
  prometheus::Histogram::BucketBoundaries bounds;
  for (const std::chrono::milliseconds bound : kDurationBucketBounds)
    bounds.push_back(Seconds(bound));
  std::vector<double> counts;
  for (const auto& count : durations.counts)
    counts.push_back(static_cast<double>(count.load()));
  const Duration sum(durations.sum_ns.load());
  prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({}, bounds)
      .ObserveMultiple(counts, Seconds(sum));
}

void AddDurationHistograms(Registry& registry, const Counters& counters) {
  AddHistogram(registry, "mangodoor_request_seconds",
               "Time from the header of a request to its end.",
               counters.request_times);
  AddHistogram(registry, "mangodoor_server_wait_seconds",
               "Time that an attempt waited for a backend server.",
               counters.server_waits);
  AddHistogram(registry, "mangodoor_attempt_seconds",
               "Time that an attempt took at its backend server.",
               counters.attempt_times);
}

void AddErrorCounters(Registry& registry, const Counters& counters) {
  auto& family = prometheus::BuildCounter()
                     .Name("mangodoor_errors_total")
                     .Help("Requests answered with an error of this instance.")
                     .Register(registry);
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& answer = AnswerFor(static_cast<ErrorKind>(i));
    family
        .Add({{"kind", answer.name}, {"outcome", OutcomeName(answer.outcome)}})
        .Increment(static_cast<double>(counters.errors[i].load()));
  }
}

void AddResponseFaultCounters(Registry& registry, const Counters& counters) {
  auto& family = prometheus::BuildCounter()
                     .Name("mangodoor_response_faults_total")
                     .Help("Faulty responses of backend servers.")
                     .Register(registry);
  for (size_t i = 0; i < kResponseFaultCount; ++i) {
    family.Add({{"fault", Name(static_cast<ResponseFault>(i))}})
        .Increment(static_cast<double>(counters.response_faults[i].load()));
  }
}

void AddInstanceGauges(Registry& registry, const InstanceStatus& status) {
  // Has the value of /readyz, which can be 0 while keyed requests are served.
  AddGauges(registry, "mangodoor_ready",
            "1 while the instance takes keyed requests, otherwise 0.")
      .Add({})
      .Set(status.readiness.ready ? 1 : 0);
  AddGauges(registry, "mangodoor_configuration_version",
            "Version of the document in force; 0 if there is none.")
      .Add({})
      .Set(static_cast<double>(status.version));
  AddGauges(registry, "mangodoor_configuration_fresh",
            "1 while the configuration is fresh, 0 while fenced.")
      .Add({})
      .Set(status.configuration_fresh ? 1 : 0);
  // Both gauges of peers count only instances on the instance list.
  int reachable = 0;
  for (const PeerStatus& peer : status.peers)
    reachable += peer.reachable ? 1 : 0;
  AddGauges(registry, "mangodoor_peers",
            "Other instances on the instance list or heard.")
      .Add({})
      .Set(static_cast<double>(status.peers.size()));
  AddGauges(registry, "mangodoor_peers_reachable",
            "Other instances heard within the last second.")
      .Add({})
      .Set(reachable);
}

void AddColdServerMetrics(Registry& registry, const ColdServersStatus& status) {
  AddGauges(registry, "mangodoor_cold_servers",
            "Backend servers that report that they are cold, as seen here.")
      .Add({})
      .Set(status.cold);
  prometheus::BuildCounter()
      .Name("mangodoor_cold_requests_total")
      .Help("Requests for which a cold backend server was chosen.")
      .Register(registry)
      .Add({})
      .Increment(static_cast<double>(status.requests));
  AddGauges(registry, "mangodoor_cold_share",
            "Share of this instance in the rate limit of a cold server of its "
            "data centre.")
      .Add({})
      .Set(status.share);
}

void AddFleetMetrics(Registry& registry, const FleetStatus& fleet) {
  prometheus::BuildCounter()
      .Name("mangodoor_entries_refused_total")
      .Help("Entries read from the platform's store that could not be used.")
      .Register(registry)
      .Add({})
      .Increment(static_cast<double>(fleet.entries_refused));
  std::map<std::pair<std::string, std::string>, int> count;
  for (const MemberStatus& status : fleet.members) {
    ++count[{status.member.data_centre.value(), Name(status.member.state)}];
  }
  auto& members =
      AddGauges(registry, "mangodoor_members",
                "Other instances of a data centre in a state, as seen here.");
  for (const auto& [labels, number] : count)
    members.Add({{"data_centre", labels.first}, {"state", labels.second}})
        .Set(number);
  AddGauges(registry, "mangodoor_store_revision",
            "Revision of the platform's store that this instance works with.")
      .Add({})
      .Set(static_cast<double>(fleet.store_revision));
  AddGauges(registry, "mangodoor_store_era",
            "Rises each time the store is restored from an older copy.")
      .Add({})
      .Set(static_cast<double>(fleet.store_era));
  AddGauges(registry, "mangodoor_carried_items",
            "Items that stay in force although the restored store lacks them.")
      .Add({})
      .Set(static_cast<double>(fleet.carried_items));
  if (fleet.store_age) {
    AddGauges(registry, "mangodoor_store_age_seconds",
              "Time since the copy of the store was known to be current.")
        .Add({})
        .Set(Seconds(*fleet.store_age));
  }
  AddGauges(registry, "mangodoor_reads_store",
            "1 while this instance reads the store for its data centre.")
      .Add({})
      .Set(fleet.reads_store ? 1 : 0);
  AddColdServerMetrics(registry, fleet.cold_servers);
}

void AddServerGauges(Registry& registry,
                     const std::vector<ServerStatus>& servers) {
  std::map<std::pair<std::string, std::string>, int> count;
  std::map<std::string, int> outstanding;
  for (const ServerStatus& server : servers) {
    ++count[{server.service.value(), Name(server.state)}];
    outstanding[server.service.value()] += server.outstanding;
  }
  auto& servers_family =
      AddGauges(registry, "mangodoor_backend_servers",
                "Backend servers of a service in a state, as seen here.");
  for (const auto& [labels, number] : count)
    servers_family.Add({{"service", labels.first}, {"state", labels.second}})
        .Set(number);
  auto& outstanding_family =
      AddGauges(registry, "mangodoor_backend_outstanding",
                "Requests of this instance running at a service.");
  for (const auto& [service, number] : outstanding)
    outstanding_family.Add({{"service", service}}).Set(number);
}

void AddAccountMetrics(Registry& registry,
                       const std::vector<AccountStatus>& accounts) {
  auto& admitted = prometheus::BuildCounter()
                       .Name("mangodoor_account_admitted_total")
                       .Help("Requests admitted for a client account.")
                       .Register(registry);
  auto& refused = prometheus::BuildCounter()
                      .Name("mangodoor_account_refused_total")
                      .Help("Requests refused for a client account.")
                      .Register(registry);
  auto& tokens = AddGauges(registry, "mangodoor_account_tokens",
                           "Tokens of a client account held here.");
  auto& waiting = AddGauges(registry, "mangodoor_account_waiting",
                            "Requests waiting for a token.");
  for (const AccountStatus& account : accounts) {
    const Labels labels{{"client_account", account.client_account.value()}};
    admitted.Add(labels).Increment(static_cast<double>(account.admitted));
    refused.Add(labels).Increment(static_cast<double>(account.refused));
    tokens.Add(labels).Set(static_cast<double>(account.tokens) *
                           kTokensPerMicroToken);
    waiting.Add(labels).Set(account.waiting);
  }
}

}  // namespace

std::string MetricsText(const Counters& counters,
                        const InstanceStatus& status) {
  // Each scrape builds a new registry: the values are held in the tables, and
  // time series of servers and accounts that are no longer in the document
  // disappear.
  Registry registry;
  AddDataPathCounters(registry, counters);
  AddControlPlaneCounters(registry, counters);
  AddErrorCounters(registry, counters);
  AddResponseFaultCounters(registry, counters);
  AddDurationHistograms(registry, counters);
  AddInstanceGauges(registry, status);
  if (status.fleet)
    AddFleetMetrics(registry, *status.fleet);
  AddServerGauges(registry, status.servers);
  AddAccountMetrics(registry, status.accounts);
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace mangodoor
