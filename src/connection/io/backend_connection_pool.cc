#include "connection/io/backend_connection_pool.h"

#include <sys/socket.h>
#include <algorithm>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "process/io/line_limiter.h"
#include "process/io/log.h"

namespace mangodoor {
namespace {

// CloseIdle checks only connections that have been idle for this long. Others
// are checked when they are taken.
constexpr std::chrono::seconds kMinIdleBeforeCheck{1};

constexpr int kFaultLinesPerSecond = 10;

struct ConnectionWaiter {
  uint64_t ticket = 0;
  BackendConnectionPool::ReadyCallback ready;
};

/** Connections to one backend server. */
struct ServerConnections {
  std::vector<BackendConnectionPtr> idle;
  std::deque<ConnectionWaiter> waiters;
  /** Connections that are idle, in use or being opened. */
  int total = 0;
  int opening = 0;
  int limit = 1;
};

/** State of a connection that no request uses. */
enum class IdleState { kReusable, kClosedByServer, kHasBytes };

IdleState StateOf(BackendConnection& connection) {
  char byte = 0;
  const ssize_t received = ::recv(connection.socket->native_handle(), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
  if (received > 0)
    return IdleState::kHasBytes;
  const bool would_block =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? IdleState::kReusable : IdleState::kClosedByServer;
}

void Close(BackendConnection& connection) {
  boost::system::error_code ignored;
  connection.socket->close(ignored);
}

}  // namespace

struct BackendConnectionPool::State : std::enable_shared_from_this<State> {
  State(BackendTransport& backend_transport,
        const Clock& pool_clock,
        Counters& pool_counters,
        BackendConnectionLimits pool_limits)
      : transport(backend_transport),
        clock(pool_clock),
        counters(pool_counters),
        limits(pool_limits),
        fault_lines(pool_clock, kFaultLinesPerSecond) {}

  BackendTransport& transport;
  const Clock& clock;
  Counters& counters;
  BackendConnectionLimits limits;
  LineLimiter fault_lines;
  OrderedMutex mutex{LockRank::kConnection};
  // Guarded by `mutex`.
  std::map<Endpoint, ServerConnections> servers;
  uint64_t next_ticket = 1;

  bool IsReusable(BackendConnection& connection);
  void PutBack(BackendConnectionPtr connection);
  bool HasWaiter(const Endpoint& endpoint);
  void Drop(BackendConnection& connection);
  int ReserveOpens(ServerConnections& connections);
  void StartOpens(const Endpoint& endpoint, int count);
  void FinishOpen(const Endpoint& endpoint,
                  boost::system::error_code error,
                  std::shared_ptr<BackendSocket> socket);
};

bool BackendConnectionPool::State::IsReusable(BackendConnection& connection) {
  const IdleState state = StateOf(connection);
  if (state == IdleState::kHasBytes) {
    constexpr ResponseFault kFault = ResponseFault::kBytesWhileIdle;
    ++counters.response_faults[static_cast<size_t>(kFault)];
    const LineLimiter::Admission admission = fault_lines.Admit();
    if (admission.admitted)
      Log(LogLevel::kWarning, "backend_connection_closed",
          {{"fault", Name(kFault)},
           {"endpoint", ToString(connection.endpoint)},
           {"last_id", connection.last_request_id.substr(0, kMaxLoggedId)},
           {"lines_not_logged", admission.dropped}});
  }
  return state == IdleState::kReusable;
}

// Called with the lock held. Reserves no more opens than there are waiters.
int BackendConnectionPool::State::ReserveOpens(ServerConnections& connections) {
  int count = 0;
  while (connections.total < connections.limit &&
         connections.opening < limits.parallel_opens &&
         connections.opening < static_cast<int>(connections.waiters.size())) {
    ++connections.total;
    ++connections.opening;
    ++count;
  }
  return count;
}

void BackendConnectionPool::State::StartOpens(const Endpoint& endpoint,
                                              int count) {
  for (int i = 0; i < count; ++i) {
    transport.Connect(endpoint, limits.connect,
                      [self = shared_from_this(), endpoint](
                          boost::system::error_code error,
                          std::shared_ptr<BackendSocket> socket) {
                        self->FinishOpen(endpoint, error, std::move(socket));
                      });
  }
}

void BackendConnectionPool::State::FinishOpen(
    const Endpoint& endpoint,
    boost::system::error_code error,
    std::shared_ptr<BackendSocket> socket) {
  BackendConnectionPtr connection;
  if (!error) {
    ++counters.backend_connections;
    connection = std::make_shared<BackendConnection>();
    connection->endpoint = endpoint;
    connection->socket = std::move(socket);
  }
  ConnectionWaiter waiter;
  int opens = 0;
  {
    OrderedLock lock(mutex);
    ServerConnections& connections = servers[endpoint];
    --connections.opening;
    if (error)
      --connections.total;
    if (!connections.waiters.empty()) {
      waiter = std::move(connections.waiters.front());
      connections.waiters.pop_front();
    } else if (connection) {
      connection->idle_since = clock.Now();
      connections.idle.push_back(connection);
    }
    opens = ReserveOpens(connections);
  }
  if (waiter.ready)
    waiter.ready(error, std::move(connection));
  StartOpens(endpoint, opens);
}

// Hands the connection to the first waiter, or keeps it idle. An idle one is
// checked when it is taken.
void BackendConnectionPool::State::PutBack(BackendConnectionPtr connection) {
  if (HasWaiter(connection->endpoint) && !IsReusable(*connection))
    return Drop(*connection);
  ConnectionWaiter waiter;
  {
    OrderedLock lock(mutex);
    ServerConnections& connections = servers[connection->endpoint];
    if (connections.waiters.empty()) {
      connections.idle.push_back(std::move(connection));
      return;
    }
    waiter = std::move(connections.waiters.front());
    connections.waiters.pop_front();
  }
  ++counters.backend_reuses;
  waiter.ready({}, std::move(connection));
}

bool BackendConnectionPool::State::HasWaiter(const Endpoint& endpoint) {
  OrderedLock lock(mutex);
  return !servers[endpoint].waiters.empty();
}

// Closes the connection and makes room for another one.
void BackendConnectionPool::State::Drop(BackendConnection& connection) {
  Close(connection);
  int opens = 0;
  {
    OrderedLock lock(mutex);
    ServerConnections& connections = servers[connection.endpoint];
    --connections.total;
    opens = ReserveOpens(connections);
  }
  StartOpens(connection.endpoint, opens);
}

BackendConnectionPool::BackendConnectionPool(BackendTransport& transport,
                                             const Clock& clock,
                                             Counters& counters,
                                             BackendConnectionLimits limits)
    : state_(std::make_shared<State>(transport, clock, counters, limits)) {}

BackendConnectionPool::~BackendConnectionPool() = default;

BackendConnectionPtr BackendConnectionPool::TakeIdle(
    const ChosenServer& server) {
  for (;;) {
    BackendConnectionPtr connection;
    {
      OrderedLock lock(state_->mutex);
      auto found = state_->servers.find(server.endpoint);
      if (found == state_->servers.end() || found->second.idle.empty())
        return nullptr;
      // The connection that was put back last is taken, so that surplus ones
      // stay idle and are closed.
      connection = std::move(found->second.idle.back());
      found->second.idle.pop_back();
    }
    if (state_->IsReusable(*connection)) {
      ++state_->counters.backend_reuses;
      return connection;
    }
    Discard(std::move(connection));
  }
}

uint64_t BackendConnectionPool::Open(const ChosenServer& server,
                                     ReadyCallback ready) {
  uint64_t ticket = 0;
  int opens = 0;
  {
    OrderedLock lock(state_->mutex);
    ServerConnections& connections = state_->servers[server.endpoint];
    connections.limit = server.connection_limit;
    ticket = state_->next_ticket++;
    connections.waiters.push_back({ticket, std::move(ready)});
    opens = state_->ReserveOpens(connections);
  }
  state_->StartOpens(server.endpoint, opens);
  return ticket;
}

void BackendConnectionPool::CancelOpen(const ChosenServer& server,
                                       uint64_t ticket) {
  OrderedLock lock(state_->mutex);
  std::deque<ConnectionWaiter>& waiters =
      state_->servers[server.endpoint].waiters;
  for (auto waiter = waiters.begin(); waiter != waiters.end(); ++waiter) {
    if (waiter->ticket == ticket) {
      waiters.erase(waiter);
      return;
    }
  }
}

void BackendConnectionPool::Return(BackendConnectionPtr connection) {
  // Bytes after a complete response belong to no request, and the next request
  // could take them for its response.
  const bool has_unread_bytes = connection->buffer.size() > 0;
  if (has_unread_bytes || IsFull(connection->sent))
    return Discard(std::move(connection));
  connection->reused = true;
  connection->idle_since = state_->clock.Now();
  state_->PutBack(std::move(connection));
}

void BackendConnectionPool::Discard(BackendConnectionPtr connection) {
  state_->Drop(*connection);
}

void BackendConnectionPool::CloseIdle(TimePoint now) {
  // Connections are removed from the idle list before they are checked, since
  // no lock may be held across I/O.
  std::vector<BackendConnectionPtr> to_check;
  {
    OrderedLock lock(state_->mutex);
    for (auto& server : state_->servers) {
      auto& idle = server.second.idle;
      auto first_recent = std::stable_partition(
          idle.begin(), idle.end(),
          [now](const BackendConnectionPtr& connection) {
            return now - connection->idle_since >= kMinIdleBeforeCheck;
          });
      to_check.insert(to_check.end(), idle.begin(), first_recent);
      idle.erase(idle.begin(), first_recent);
    }
  }
  for (BackendConnectionPtr& connection : to_check) {
    const bool expired = now - connection->idle_since >= state_->limits.idle;
    if (expired || !state_->IsReusable(*connection))
      Discard(std::move(connection));
    else
      state_->PutBack(std::move(connection));
  }
}

}  // namespace mangodoor
