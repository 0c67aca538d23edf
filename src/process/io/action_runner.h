#ifndef PROCESS_IO_ACTION_RUNNER_H_
#define PROCESS_IO_ACTION_RUNNER_H_

#include <functional>
#include <unordered_map>
#include <vector>

#include "process/accounts/account_table.h"
#include "process/ordered_mutex.h"
#include "process/peers/peer_transport.h"
#include "process/servers/server_table.h"

namespace mangodoor {

/**
 * Carries out the actions that the functions of the tables return. Must be
 * called with no table locked, since the callbacks can lock tables.
 */
class ActionRunner {
 public:
  using ProbeCallback = std::function<void(const ChosenServer&)>;
  using ColdEventCallback =
      std::function<void(const std::vector<ColdPhaseEvent>&)>;

  /** `log_cold` may be empty if no server registers itself. */
  ActionRunner(PeerTransport& peers,
               ProbeCallback probe,
               ColdEventCallback log_cold = {});

  void Run(const AccountActions& actions);
  void Run(const ServerActions& actions);

  /**
   * Sends all connected peers the latest report on each backend server that was
   * reported on since the last call.
   */
  void SendReports();

 private:
  PeerTransport& peers_;
  ProbeCallback probe_;
  ColdEventCallback log_cold_;
  OrderedMutex mutex_{LockRank::kPeer};
  /** The latest report on each backend server, until SendReports sends it. */
  std::unordered_map<BackendServerId, ServerReport> unsent_reports_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_ACTION_RUNNER_H_
