#include "process/status/io/status_text.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "version/utc_time.h"

namespace mangodoor {
namespace {

using FloatMilliseconds = std::chrono::duration<double, std::milli>;
using Row = std::vector<std::string>;

constexpr size_t kColumnGap = 2;

// Formats rows of the same number of cells in aligned columns.
std::string FormatTable(const std::vector<Row>& rows) {
  std::vector<size_t> widths(rows.front().size(), 0);
  for (const Row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i)
      line += row[i] + std::string(widths[i] - row[i].size() + kColumnGap, ' ');
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

// The first row is the heading.
std::string FormatSection(const std::string& title,
                          const std::vector<Row>& rows) {
  if (rows.size() < 2)
    return "\n" + title + ": none\n";
  return "\n" + title + "\n" + FormatTable(rows);
}

std::string FormatNumber(double number) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.1f", number);
  return text.data();
}

std::string FormatTokens(MicroTokens tokens) {
  return FormatNumber(static_cast<double>(tokens) / kMicroTokensPerToken);
}

std::string FormatMilliseconds(Duration duration) {
  if (duration == Duration::max())
    return "never";
  return FormatNumber(FloatMilliseconds(duration).count()) + " ms";
}

std::string FormatColdServers(const ColdServersStatus& status) {
  const ShareCounts& counts = status.counts;
  return "\ncold servers: " + std::to_string(status.cold) + " now, " +
         std::to_string(status.requests) + " requests sent to cold ones" +
         "\nshare of a cold server: " + FormatNumber(status.share * 100) +
         "% (" + std::to_string(counts.advertised_instances) +
         " advertised of " + std::to_string(counts.instances) +
         " instances in the data centre, " +
         std::to_string(counts.all_instances) + " in all; this one is " +
         (counts.is_advertised ? "" : "not ") + "advertised)";
}

std::string FormatStoreAndFleet(const FleetStatus& fleet) {
  return "\nstore: revision " + std::to_string(fleet.store_revision) +
         (fleet.store_age ? ", known to be current " +
                                FormatMilliseconds(*fleet.store_age) + " ago"
                          : ", never known to be current") +
         (fleet.reads_store ? ", read by this instance" : "") +
         (fleet.carried_items > 0 ? "\nrestored from an older copy: " +
                                        std::to_string(fleet.carried_items) +
                                        " items stay in force that it lacks"
                                  : "") +
         "\nfleet: rank " + std::to_string(fleet.rank) +
         " in the data centre, " + FormatNumber(fleet.requests_per_s) +
         " requests a second" + FormatColdServers(fleet.cold_servers);
}

std::string FormatSummary(const InstanceStatus& status) {
  const std::string readiness =
      status.readiness.ready ? "ready"
                             : "not ready (" + status.readiness.reason + ")";
  const std::string version =
      status.version == 0
          ? "none in force"
          : std::to_string(status.version) + ", digest " + status.digest;
  return "instance " + status.self.id.value() + " in " +
         status.self.data_centre.value() + ": " + Name(status.state) + ", " +
         readiness + "\nversion: " + version + "\nconfiguration: " +
         (status.configuration_fresh ? "fresh" : "stale") +
         (status.fleet ? FormatStoreAndFleet(*status.fleet)
                       : "\ninstance list: revision " +
                             std::to_string(status.list_revision)) +
         "\n";
}

std::string FormatPeers(const std::vector<PeerStatus>& peers) {
  std::vector<Row> rows = {{"PEER", "DATA CENTRE", "STATE", "REACHABLE",
                            "LAST HEARD", "VERSION", "LIST SAYS"}};
  for (const PeerStatus& peer : peers) {
    rows.push_back({peer.instance.id.value(), peer.instance.data_centre.value(),
                    Name(peer.state), peer.reachable ? "yes" : "no",
                    FormatMilliseconds(peer.time_since_heard),
                    std::to_string(peer.version),
                    peer.instance.leaving ? "leaving" : "live"});
  }
  return FormatSection("peers", rows);
}

std::string FormatMembers(const std::vector<MemberStatus>& members) {
  std::vector<Row> rows = {{"MEMBER", "DATA CENTRE", "STATE", "LINKED",
                            "LAST HEARD", "MILLICORES", "STORE REVISION",
                            "READS"}};
  for (const MemberStatus& status : members) {
    const Member& member = status.member;
    rows.push_back({member.id.value(), member.data_centre.value(),
                    Name(member.state), status.linked ? "yes" : "no",
                    FormatMilliseconds(status.time_since_heard),
                    std::to_string(member.millicores),
                    std::to_string(status.store_revision),
                    status.reads_store ? "yes" : "no"});
  }
  return FormatSection("members", rows);
}

std::string FormatServers(const std::vector<ServerStatus>& servers) {
  std::vector<Row> rows = {{"SERVICE", "SERVER", "DATA CENTRE", "STATE",
                            "OUTSTANDING", "ALLOWED", "LATENCY", "WAITING",
                            "WHY"}};
  for (const ServerStatus& server : servers) {
    rows.push_back({server.service.value(), server.server.value(),
                    server.data_centre.value(), Name(server.state),
                    std::to_string(server.outstanding),
                    std::to_string(server.allowance),
                    FormatMilliseconds(server.latency),
                    std::to_string(server.waiting), server.reason});
  }
  std::sort(rows.begin() + 1, rows.end());
  return FormatSection("backend servers", rows);
}

std::string FormatAccounts(const std::vector<AccountStatus>& accounts) {
  std::vector<Row> rows = {{"CLIENT ACCOUNT", "TOKENS", "RATE/S", "BURST",
                            "LENT", "BORROWED", "ADMITTED", "REFUSED",
                            "WAITING"}};
  for (const AccountStatus& account : accounts) {
    rows.push_back(
        {account.client_account.value(), FormatTokens(account.tokens),
         FormatTokens(account.rate_per_s), FormatTokens(account.burst),
         FormatTokens(account.lent), FormatTokens(account.borrowed),
         std::to_string(account.admitted), std::to_string(account.refused),
         std::to_string(account.waiting)});
  }
  std::sort(rows.begin() + 1, rows.end());
  return FormatSection("client accounts (share of this instance)", rows);
}

}  // namespace

std::string FormatStatus(const InstanceStatus& status) {
  return FormatSummary(status) +
         (status.fleet ? FormatMembers(status.fleet->members)
                       : FormatPeers(status.peers)) +
         FormatServers(status.servers) + FormatAccounts(status.accounts);
}

std::string FormatAudit(const std::vector<AuditRecord>& records) {
  std::string text;
  for (const AuditRecord& record : records) {
    text += FormatUtcTime(record.at) +
            (record.accepted ? " accepted" : " rejected") + " version " +
            std::to_string(record.version) + " from " +
            (record.source.empty() ? "the configuration service"
                                   : "peer " + record.source.value()) +
            ", digest " + record.digest + "\n";
    for (const std::string& detail : record.details)
      text += "  " + detail + "\n";
  }
  return text.empty() ? "no records\n" : text;
}

}  // namespace mangodoor
