#include "connection/io/backend_connection_pool.h"

#include <sys/socket.h>
#include <algorithm>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <utility>

namespace mangodoor {
namespace {

// Only connections unused for this long are examined while idle. The others
// are examined when they are taken.
constexpr std::chrono::seconds kRestingTime{1};

struct OpenWait {
  uint64_t ticket = 0;
  BackendConnectionPool::Ready ready;
};

/** Connections to one backend server. */
struct ServerConnections {
  std::vector<BackendConnectionPtr> idle;
  std::deque<OpenWait> waits;
  /** Idle, in use and being opened. */
  int open = 0;
  int opening = 0;
  int limit = 1;
};

/** A readable idle connection was closed, or carries a late response. */
bool IsQuiet(BackendConnection& connection) {
  char byte = 0;
  const ssize_t received = ::recv(connection.socket->native_handle(), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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
        limits(pool_limits) {}

  BackendTransport& transport;
  const Clock& clock;
  Counters& counters;
  BackendConnectionLimits limits;
  OrderedMutex mutex{LockRank::kConnection};
  // Guarded by `mutex`.
  std::map<Endpoint, ServerConnections> servers;
  uint64_t next_ticket = 1;

  void PutBack(BackendConnectionPtr connection);
  int ReserveOpens(ServerConnections& connections);
  void StartOpens(const Endpoint& endpoint, int count);
  void EndOpen(const Endpoint& endpoint,
               boost::system::error_code error,
               std::shared_ptr<BackendSocket> socket);
};

// Called with the lock held. Starts no more opens than there are waits.
int BackendConnectionPool::State::ReserveOpens(ServerConnections& connections) {
  int count = 0;
  while (connections.open < connections.limit &&
         connections.opening < limits.parallel_opens &&
         connections.opening < static_cast<int>(connections.waits.size())) {
    ++connections.open;
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
                        self->EndOpen(endpoint, error, std::move(socket));
                      });
  }
}

void BackendConnectionPool::State::EndOpen(
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
  OpenWait wait;
  int opens = 0;
  {
    OrderedLock lock(mutex);
    ServerConnections& connections = servers[endpoint];
    --connections.opening;
    if (error)
      --connections.open;
    if (!connections.waits.empty()) {
      wait = std::move(connections.waits.front());
      connections.waits.pop_front();
    } else if (connection) {
      connection->idle_since = clock.Now();
      connections.idle.push_back(connection);
    }
    opens = ReserveOpens(connections);
  }
  if (wait.ready)
    wait.ready(error, std::move(connection));
  StartOpens(endpoint, opens);
}

// Gives the connection to the longest wait, or keeps it idle.
void BackendConnectionPool::State::PutBack(BackendConnectionPtr connection) {
  OpenWait wait;
  {
    OrderedLock lock(mutex);
    ServerConnections& connections = servers[connection->endpoint];
    if (connections.waits.empty()) {
      connections.idle.push_back(std::move(connection));
      return;
    }
    wait = std::move(connections.waits.front());
    connections.waits.pop_front();
  }
  ++counters.backend_reuses;
  wait.ready({}, std::move(connection));
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
      // The latest one used, so that surplus connections grow old and close.
      connection = std::move(found->second.idle.back());
      found->second.idle.pop_back();
    }
    if (IsQuiet(*connection)) {
      ++state_->counters.backend_reuses;
      return connection;
    }
    Discard(std::move(connection));
  }
}

uint64_t BackendConnectionPool::Open(const ChosenServer& server, Ready ready) {
  uint64_t ticket = 0;
  int opens = 0;
  {
    OrderedLock lock(state_->mutex);
    ServerConnections& connections = state_->servers[server.endpoint];
    connections.limit = server.connection_limit;
    ticket = state_->next_ticket++;
    connections.waits.push_back({ticket, std::move(ready)});
    opens = state_->ReserveOpens(connections);
  }
  state_->StartOpens(server.endpoint, opens);
  return ticket;
}

void BackendConnectionPool::CancelOpen(const ChosenServer& server,
                                       uint64_t ticket) {
  OrderedLock lock(state_->mutex);
  std::deque<OpenWait>& waits = state_->servers[server.endpoint].waits;
  for (auto wait = waits.begin(); wait != waits.end(); ++wait) {
    if (wait->ticket == ticket) {
      waits.erase(wait);
      return;
    }
  }
}

void BackendConnectionPool::Return(BackendConnectionPtr connection) {
  if (connection->buffer.size() > 0) {
    // Bytes after a whole response answer nothing that was asked.
    Discard(std::move(connection));
    return;
  }
  connection->reused = true;
  connection->idle_since = state_->clock.Now();
  state_->PutBack(std::move(connection));
}

void BackendConnectionPool::Discard(BackendConnectionPtr connection) {
  Close(*connection);
  int opens = 0;
  {
    OrderedLock lock(state_->mutex);
    ServerConnections& connections = state_->servers[connection->endpoint];
    --connections.open;
    opens = state_->ReserveOpens(connections);
  }
  state_->StartOpens(connection->endpoint, opens);
}

void BackendConnectionPool::CloseIdle(TimePoint now) {
  // Taken out before they are looked at, since no lock is held across I/O.
  std::vector<BackendConnectionPtr> resting;
  {
    OrderedLock lock(state_->mutex);
    for (auto& server : state_->servers) {
      auto& idle = server.second.idle;
      auto first_used = std::stable_partition(
          idle.begin(), idle.end(), [now](const BackendConnectionPtr& one) {
            return now - one->idle_since >= kRestingTime;
          });
      resting.insert(resting.end(), idle.begin(), first_used);
      idle.erase(idle.begin(), first_used);
    }
  }
  for (BackendConnectionPtr& connection : resting) {
    const bool old = now - connection->idle_since >= state_->limits.idle;
    if (old || !IsQuiet(*connection))
      Discard(std::move(connection));
    else
      state_->PutBack(std::move(connection));
  }
}

}  // namespace mangodoor
