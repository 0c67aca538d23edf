#ifndef PROCESS_SERVERS_SERVER_REQUEST_H_
#define PROCESS_SERVERS_SERVER_REQUEST_H_

#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "process/clock.h"
#include "process/error_kind.h"
#include "process/servers/load_estimate.h"
#include "process/servers/server_state.h"
#include "process/servers/work_model.h"
#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

/** A backend server reserved for one attempt of one request. */
struct ChosenServer {
  BackendServerId server;
  Endpoint endpoint;
  /** Connections that this instance may hold to the server. */
  int connection_limit = 1;
  std::string health_path = "/health";
  /** What the choice was based on. */
  PlacementRecord placement = {};
};

/** Decision on a waiting request. Called once, with no lock held. */
using ServerCallback =
    std::function<void(std::variant<ChosenServer, ErrorKind>)>;

/** What is to be done after a call, once no lock is held. */
struct ServerActions {
  std::vector<std::function<void()>> callbacks;
  /** News for the other instances. */
  std::vector<ServerReport> reports;
  /** Backend servers that this instance is to probe now. */
  std::vector<ChosenServer> probes;
};

/** What a request needs of a server. */
struct ServerRequirements {
  ServiceId service;
  ClientAccountId client_account;
  TimePoint deadline;
  /** Servers that this request has already tried. */
  std::vector<BackendServerId> tried;
  /** An answer by then has its full value. */
  TimePoint target_at = TimePoint::max();
  /** Requests of one route take about as long. */
  std::string route = {};
  /** What the route wants answers within; zero if it doesn't say. */
  Duration target{};
  /** 0 goes first. */
  int priority = 0;
};

struct ServerReply {
  enum class State { kChosen, kWaiting, kRefused };
  State state = State::kRefused;
  ChosenServer chosen;
  ErrorKind error = ErrorKind::kNoServer;
  /** Names a waiting request, for CancelWait. */
  uint64_t ticket = 0;
  /** To be carried out by the caller, whatever the state. */
  ServerActions actions;
};

/** How an attempt at a server ended. */
struct AttemptResult {
  enum class End {
    /** An answer with a status below 500 arrived whole. */
    kAnswered,
    /** An answer with a status of 500 or more. */
    kServerError,
    /** The server said that it did not run the request. */
    kRefusedByServer,
    /** No connection could be made. */
    kConnectFailed,
    /** An established connection broke. */
    kReset,
    kTimeout,
    /** The caller went away, or a hedge won. */
    kCancelled,
    /** The attempt was given back before anything was sent. */
    kUnused,
  };
  End end = End::kUnused;
  /** Time since the server was chosen; wanted for every end. */
  Duration latency{};
  /** From endpoint-load-metrics, if the answer carried them. */
  std::optional<int> reported_in_flight;
  std::optional<bool> reported_cold;
  /** What the server said of its load beside the above. */
  std::optional<ServerLoad> server_load;
  /** As it was when the server was chosen. */
  PlacementRecord placement;
};

/** Answer of a health probe; no value means that none came. */
struct ProbeResult {
  std::optional<ServerState> state;
  int in_flight = -1;

  // The fields below are of servers that register themselves.

  bool answered = false;
  bool healthy = false;
  /** No connection could be made. */
  bool refused = false;
  /** The address is another server's now. */
  bool other_server = false;
  std::optional<ServerLoad> server_load;
  std::optional<Duration> cold_remaining;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_REQUEST_H_
