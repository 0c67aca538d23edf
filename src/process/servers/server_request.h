#ifndef PROCESS_SERVERS_SERVER_REQUEST_H_
#define PROCESS_SERVERS_SERVER_REQUEST_H_

#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "process/clock.h"
#include "process/error_kind.h"
#include "process/servers/cold_phase.h"
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
  /** What was known of the server when it was chosen. */
  PlacementRecord placement = {};
};

/** Called once with the decision on a waiting request, with no lock held. */
using ServerCallback =
    std::function<void(std::variant<ChosenServer, ErrorKind>)>;

/** What the caller of a ServerTable function does next, with no lock held. */
struct ServerActions {
  std::vector<std::function<void()>> callbacks;
  /** Reports to send to the other instances. */
  std::vector<ServerReport> reports;
  /** Backend servers to probe now. */
  std::vector<ChosenServer> probes;
  /** Beginnings and ends of cold phases, for logs. */
  std::vector<ColdPhaseEvent> cold_events;
};

/** What a request requires of a server. */
struct ServerRequirements {
  ServiceId service;
  ClientAccountId client_account;
  TimePoint deadline;
  /** Servers that this request has already tried. */
  std::vector<BackendServerId> tried;
  /** A response after this time is worth less to the caller. */
  TimePoint target_at = TimePoint::max();
  /** Route of the request; work times are estimated separately for each. */
  std::string route = {};
  /** Target latency of the route; zero if it has none. */
  Duration target{};
  /** 0 is the highest priority. */
  int priority = 0;
  /** True if the request may run more than once. */
  bool idempotent = true;
};

struct ServerReply {
  enum class State { kChosen, kWaiting, kRefused };
  State state = State::kRefused;
  ChosenServer chosen;
  ErrorKind error = ErrorKind::kNoServer;
  /** Identifies a waiting request, for CancelWait(). */
  uint64_t ticket = 0;
  /** Must be carried out whatever the state is. */
  ServerActions actions;
};

/** How an attempt at a server ended. */
struct AttemptResult {
  enum class End {
    /** A complete response with a status below 500. */
    kAnswered,
    /** A response with a status of 500 or more. */
    kServerError,
    /** The server reported that it did not run the request. */
    kRefusedByServer,
    /** No connection could be made. */
    kConnectFailed,
    /** An established connection broke. */
    kReset,
    kTimeout,
    /** The caller disconnected, or another attempt of the request won. */
    kCancelled,
    /** The reservation was released before anything was sent. */
    kUnused,
  };
  End end = End::kUnused;
  /** Time since the server was chosen; set for every end. */
  Duration latency{};
  /** From endpoint-load-metrics, if the response had this header. */
  std::optional<int> reported_in_flight;
  std::optional<bool> reported_cold;
  /** Load that the server reported with the response. */
  std::optional<ServerLoad> server_load;
  /** Copied from ChosenServer. */
  PlacementRecord placement;
};

/** Result of a probe; `state` is unset without a valid response. */
struct ProbeResult {
  std::optional<ServerState> state;
  int in_flight = -1;

  // The fields below are set only for servers that register themselves.

  bool answered = false;
  bool healthy = false;
  /** No connection could be made. */
  bool connect_failed = false;
  /** The response came from another server, which now has this address. */
  bool other_server = false;
  std::optional<ServerLoad> server_load;
  std::optional<Duration> cold_remaining;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_REQUEST_H_
