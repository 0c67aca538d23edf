#include "connection/io/caller_listener.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <utility>

#include "connection/io/caller_session.h"
#include "process/ordered_mutex.h"
#include "process/tables.h"

namespace mangodoor {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// While no file descriptor is free, accept fails again at once. The delay
// leaves the processor to running sessions, which free descriptors when they
// end.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

struct CallerListener::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io_context, const SessionContext& session_context)
      : io(io_context),
        strand(asio::make_strand(io_context)),
        acceptor(strand),
        accept_retry_timer(strand),
        context(session_context) {}

  asio::io_context& io;
  asio::strand<asio::io_context::executor_type> strand;
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  SessionContext context;
  Endpoint endpoint;
  std::atomic<int> running_requests{0};
  std::atomic<int> open_connections{0};
  OrderedMutex mutex{LockRank::kConnection};
  // Guarded by `mutex`.
  uint64_t next_session_id = 0;
  std::map<uint64_t, std::weak_ptr<CallerSession>> sessions;
  bool draining = false;
  std::function<void()> drained;

  void Accept();
  void RetryAcceptLater();
  void StartSession(CallerSocket socket);
  void EndSession(uint64_t session_id);
  void CloseAcceptor();
};

void CallerListener::State::Accept() {
  acceptor.async_accept(
      asio::make_strand(io),
      [self = shared_from_this()](boost::system::error_code error,
                                  CallerSocket socket) {
        if (!self->acceptor.is_open())
          return;
        if (error) {
          self->RetryAcceptLater();
          return;
        }
        self->StartSession(std::move(socket));
        self->Accept();
      });
}

void CallerListener::State::RetryAcceptLater() {
  accept_retry_timer.expires_after(kAcceptRetryDelay);
  accept_retry_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code) {
        if (self->acceptor.is_open())
          self->Accept();
      });
}

void CallerListener::State::StartSession(CallerSocket socket) {
  ++open_connections;
  ++context.tables.counters.caller_connections;
  uint64_t session_id = 0;
  {
    OrderedLock lock(mutex);
    session_id = next_session_id++;
    sessions[session_id];
  }
  SessionCallbacks callbacks;
  callbacks.running_requests_changed = [self = shared_from_this()](int change) {
    self->running_requests += change;
  };
  callbacks.ended = [self = shared_from_this(), session_id] {
    self->EndSession(session_id);
  };
  std::weak_ptr<CallerSession> session =
      StartCallerSession(std::move(socket), context, std::move(callbacks));
  bool close_now = false;
  {
    OrderedLock lock(mutex);
    auto found = sessions.find(session_id);
    if (found != sessions.end())
      found->second = session;
    close_now = draining;
  }
  if (auto running_session = session.lock(); running_session && close_now)
    DrainSession(*running_session);
}

void CallerListener::State::EndSession(uint64_t session_id) {
  --open_connections;
  std::function<void()> done;
  {
    OrderedLock lock(mutex);
    sessions.erase(session_id);
    if (draining && sessions.empty())
      done = std::exchange(drained, nullptr);
  }
  if (done)
    done();
}

void CallerListener::State::CloseAcceptor() {
  asio::post(strand, [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor.close(ignored);
    self->accept_retry_timer.cancel();
  });
}

CallerListener::CallerListener(asio::io_context& io,
                               const Endpoint& endpoint,
                               const SessionContext& context)
    : state_(std::make_shared<State>(io, context)) {
  const tcp::endpoint local(asio::ip::make_address(endpoint.address),
                            endpoint.port);
  state_->acceptor.open(local.protocol());
  state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  state_->acceptor.bind(local);
  state_->acceptor.listen();
  state_->endpoint = {endpoint.address,
                      state_->acceptor.local_endpoint().port()};
}

CallerListener::~CallerListener() {
  state_->CloseAcceptor();
}

void CallerListener::Start() {
  asio::post(state_->strand, [state = state_] { state->Accept(); });
}

void CallerListener::Drain(std::function<void()> drained) {
  state_->CloseAcceptor();
  std::vector<std::weak_ptr<CallerSession>> sessions;
  bool none_left = false;
  {
    OrderedLock lock(state_->mutex);
    state_->draining = true;
    for (const auto& session : state_->sessions)
      sessions.push_back(session.second);
    none_left = sessions.empty();
    state_->drained = none_left ? nullptr : drained;
  }
  for (const auto& session : sessions) {
    if (auto running = session.lock())
      DrainSession(*running);
  }
  if (none_left)
    asio::post(state_->io, std::move(drained));
}

int CallerListener::running_requests() const {
  return state_->running_requests;
}

int CallerListener::open_connections() const {
  return state_->open_connections;
}

Endpoint CallerListener::endpoint() const {
  return state_->endpoint;
}

}  // namespace mangodoor
