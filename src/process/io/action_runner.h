#ifndef PROCESS_IO_ACTION_RUNNER_H_
#define PROCESS_IO_ACTION_RUNNER_H_

#include <functional>
#include <unordered_map>

#include "process/accounts/account_table.h"
#include "process/ordered_mutex.h"
#include "process/peers/peer_transport.h"
#include "process/servers/server_table.h"

namespace mangodoor {

/** Carries out what the tables ask for, once their locks are released. */
class ActionRunner {
 public:
  using Prober = std::function<void(const ChosenServer&)>;

  ActionRunner(PeerTransport& peers, Prober prober);

  void Run(const AccountActions& actions);
  void Run(const ServerActions& actions);

  /** Sends the reports gathered since the last call to all peers. */
  void SendReports();

 private:
  PeerTransport& peers_;
  Prober prober_;
  OrderedMutex mutex_{LockRank::kPeer};
  /** The latest report on each backend server. */
  std::unordered_map<BackendServerId, ServerReport> pending_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_ACTION_RUNNER_H_
