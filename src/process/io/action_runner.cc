#include "process/io/action_runner.h"

#include <utility>

namespace mangodoor {

ActionRunner::ActionRunner(PeerTransport& peers,
                           ProbeCallback probe,
                           ColdEventCallback log_cold)
    : peers_(peers), probe_(std::move(probe)), log_cold_(std::move(log_cold)) {}

void ActionRunner::Run(const AccountActions& actions) {
  for (const OutgoingMessage& outgoing : actions.messages)
    peers_.Send(outgoing.to, outgoing.message);
  for (const auto& callback : actions.callbacks)
    callback();
}

void ActionRunner::Run(const ServerActions& actions) {
  if (!actions.reports.empty()) {
    OrderedLock lock(mutex_);
    for (const ServerReport& report : actions.reports)
      unsent_reports_[report.server] = report;
  }
  for (const ChosenServer& server : actions.probes)
    probe_(server);
  for (const auto& callback : actions.callbacks)
    callback();
  if (log_cold_ && !actions.cold_events.empty())
    log_cold_(actions.cold_events);
}

void ActionRunner::SendReports() {
  ServerReports message;
  {
    OrderedLock lock(mutex_);
    for (auto& [server, report] : unsent_reports_)
      message.reports.push_back(std::move(report));
    unsent_reports_.clear();
  }
  if (message.reports.empty())
    return;
  for (const InstanceId& peer : peers_.ConnectedPeers())
    peers_.Send(peer, message);
}

}  // namespace mangodoor
