#include "process/peers/io/peer_sockets.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <unordered_map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "process/ordered_mutex.h"
#include "process/peers/io/peer_codec.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Server and client share one configuration, so that their connections have the
// same type.
using Config = websocketpp::config::asio_client;
using Server = websocketpp::server<Config>;
using Client = websocketpp::client<Config>;
using Connection = Server::connection_type;
using ConnectionPtr = Server::connection_ptr;
using MessagePtr = Server::message_ptr;

constexpr size_t kMaxHandshakeFrameBytes = 1024;
constexpr long kCloseTimeoutMs = 1000;
constexpr int kListenBacklog = 128;

// Accepting fails while the process has no free file descriptors. Retrying
// without a delay would keep a thread busy.
constexpr std::chrono::milliseconds kAcceptRetryDelay(100);

// Frames that can be overtaken are handed to websocketpp only while it has less
// than this to send, and the next ones after the interval.
constexpr size_t kMaxBytesAhead = 64 * 1024;
constexpr long kNextFrameIntervalMs = 20;

struct Socket {
  PeerRole role = PeerRole::kDialler;
  ConnectionPtr connection;
  std::deque<std::string> queue;
  size_t queued_bytes = 0;
  /** Frames of SendInTurn. */
  std::deque<SharedFrame> in_turn;
  size_t in_turn_bytes = 0;
  /** A timer will send more of `in_turn`. */
  bool waits_for_turn = false;
  bool authenticated = false;
  bool closing = false;
};

void InitEndpoint(Client& endpoint, asio::io_context& context) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&context);
}

void InitEndpoint(Server& endpoint, asio::io_context& context) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&context);
}

tcp::endpoint ToTcp(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

}  // namespace

class PeerSockets::Impl {
 public:
  Impl(asio::io_context& context,
       PeerSocketLimits limits,
       PeerSocketEvents events)
      : limits_(limits),
        events_(std::move(events)),
        accept_strand_(context.get_executor()),
        acceptor_(accept_strand_),
        accept_timer_(accept_strand_) {
    InitEndpoint(server_, context);
    InitEndpoint(client_, context);
  }

  void Listen(const Endpoint& endpoint) {
    const tcp::endpoint local = ToTcp(endpoint);
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen(kListenBacklog);
    asio::post(accept_strand_, [this] { Accept(); });
  }

  LinkId ReserveLink() {
    OrderedLock lock(mutex_);
    return next_link_++;
  }

  void Dial(LinkId link, const Endpoint& endpoint) {
    ErrorCode error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
      return events_.closed(link);
    websocketpp::lib::error_code ignored;
    const ConnectionPtr connection =
        client_.get_connection("ws://" + ToString(endpoint) + "/", ignored);
    AddSocket(link, connection, PeerRole::kDialler);
    connection->get_raw_socket().async_connect(
        {address, endpoint.port},
        connection->get_strand()->wrap(
            [connection](const ErrorCode& connect_error) {
              if (connect_error)
                connection->terminate(connect_error);
              else
                connection->start();
            }));
  }

  bool Send(LinkId link, std::string frame) {
    ConnectionPtr connection;
    {
      OrderedLock lock(mutex_);
      Socket* const socket = FindOpen(link);
      if (!socket ||
          socket->queued_bytes + frame.size() > limits_.max_queued_bytes)
        return false;
      socket->queued_bytes += frame.size();
      socket->queue.push_back(std::move(frame));
      connection = socket->connection;
    }
    connection->interrupt();
    return true;
  }

  bool SendInTurn(LinkId link, const std::vector<SharedFrame>& frames) {
    size_t bytes = 0;
    for (const SharedFrame& frame : frames)
      bytes += frame->size();
    ConnectionPtr connection;
    {
      OrderedLock lock(mutex_);
      Socket* const socket = FindOpen(link);
      if (!socket || socket->in_turn_bytes + bytes > limits_.max_queued_bytes)
        return false;
      socket->in_turn_bytes += bytes;
      socket->in_turn.insert(socket->in_turn.end(), frames.begin(),
                             frames.end());
      connection = socket->connection;
    }
    connection->interrupt();
    return true;
  }

  void Close(LinkId link) {
    ConnectionPtr connection;
    {
      OrderedLock lock(mutex_);
      const auto found = sockets_.find(link);
      if (found == sockets_.end())
        return;
      found->second.closing = true;
      connection = found->second.connection;
    }
    connection->interrupt();
  }

  void MarkAuthenticated(LinkId link) {
    OrderedLock lock(mutex_);
    const auto found = sockets_.find(link);
    if (found == sockets_.end())
      return;
    found->second.authenticated = true;
    found->second.connection->set_max_message_size(kMaxPeerMessageBytes);
  }

  void Stop() {
    std::vector<LinkId> links;
    {
      OrderedLock lock(mutex_);
      stopped_ = true;
      for (const auto& [link, socket] : sockets_)
        links.push_back(link);
    }
    asio::post(accept_strand_, [this] {
      ErrorCode ignored;
      acceptor_.close(ignored);
      accept_timer_.cancel();
    });
    for (const LinkId link : links)
      Close(link);
  }

 private:
  /** Null if the connection is closed or closing. Called with the lock held. */
  Socket* FindOpen(LinkId link) {
    const auto found = sockets_.find(link);
    return found == sockets_.end() || found->second.closing ? nullptr
                                                            : &found->second;
  }

  void Accept() {
    acceptor_.async_accept([this](const ErrorCode& error, tcp::socket socket) {
      if (error == asio::error::operation_aborted || !acceptor_.is_open())
        return;
      if (error)
        return RetryAccept();
      if (CanAccept())
        StartAccepted(std::move(socket));
      Accept();
    });
  }

  void RetryAccept() {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait([this](const ErrorCode& error) {
      if (!error)
        Accept();
    });
  }

  bool CanAccept() {
    OrderedLock lock(mutex_);
    size_t pending = 0;
    for (const auto& [link, socket] : sockets_) {
      if (socket.role == PeerRole::kListener && !socket.authenticated)
        ++pending;
    }
    return !stopped_ && pending < limits_.max_unauthenticated;
  }

  void StartAccepted(tcp::socket socket) {
    const ConnectionPtr connection = server_.get_connection();
    connection->get_raw_socket() = std::move(socket);
    AddSocket(ReserveLink(), connection, PeerRole::kListener);
    connection->start();
  }

  void AddSocket(LinkId link, const ConnectionPtr& connection, PeerRole role) {
    SetHandlers(connection, link, role);
    Socket socket;
    socket.role = role;
    socket.connection = connection;
    OrderedLock lock(mutex_);
    sockets_.emplace(link, std::move(socket));
  }

  void SetHandlers(const ConnectionPtr& connection,
                   LinkId link,
                   PeerRole role) {
    connection->set_max_message_size(kMaxHandshakeFrameBytes);
    connection->set_open_handshake_timeout(limits_.open_timeout.count());
    connection->set_close_handshake_timeout(kCloseTimeoutMs);
    Connection* const raw = connection.get();
    connection->set_open_handler([this, link, role, raw](const auto&) {
      ErrorCode ignored;
      raw->get_raw_socket().set_option(tcp::no_delay(true), ignored);
      events_.opened(link, role);
    });
    connection->set_message_handler(
        [this, link](const auto&, const MessagePtr& message) {
          if (message->get_opcode() != websocketpp::frame::opcode::binary)
            return Close(link);
          events_.received(link, message->get_payload());
        });
    // Instances send no pings. Replies to them would queue without a bound if
    // the peer does not read, so a ping closes the connection.
    connection->set_ping_handler([this, link](const auto&, const auto&) {
      Close(link);
      return false;
    });
    connection->set_interrupt_handler(
        [this, link](const auto&) { WriteQueued(link); });
    connection->set_close_handler(
        [this, link](const auto&) { RemoveSocket(link); });
    connection->set_fail_handler(
        [this, link](const auto&) { RemoveSocket(link); });
  }

  // Runs on the connection's strand, the only place where its number of
  // buffered bytes may be read.
  void WriteQueued(LinkId link) {
    ConnectionPtr connection;
    std::deque<std::string> frames;
    bool closing = false;
    {
      OrderedLock lock(mutex_);
      const auto found = sockets_.find(link);
      if (found == sockets_.end())
        return;
      connection = found->second.connection;
      frames.swap(found->second.queue);
      found->second.queued_bytes = 0;
      closing = found->second.closing;
    }
    for (const std::string& frame : frames)
      Write(link, *connection, frame);
    if (closing)
      CloseNow(*connection);
    else
      WriteInTurn(link, connection);
  }

  void Write(LinkId link, Connection& connection, const std::string& frame) {
    const size_t buffered = connection.get_buffered_amount();
    if (buffered + frame.size() > limits_.max_queued_bytes ||
        connection.send(frame, websocketpp::frame::opcode::binary))
      events_.dropped(link);
  }

  // Runs on the connection's strand, too.
  void WriteInTurn(LinkId link, const ConnectionPtr& connection) {
    while (connection->get_buffered_amount() < kMaxBytesAhead) {
      const SharedFrame frame = TakeInTurn(link);
      if (!frame)
        return;
      Write(link, *connection, *frame);
    }
    if (!StartsWaiting(link))
      return;
    connection->set_timer(kNextFrameIntervalMs,
                          [this, link, connection](const auto& error) {
                            if (!EndsWaiting(link) || error)
                              return;
                            WriteInTurn(link, connection);
                          });
  }

  /** Null if there is none. */
  SharedFrame TakeInTurn(LinkId link) {
    OrderedLock lock(mutex_);
    const auto found = sockets_.find(link);
    if (found == sockets_.end() || found->second.in_turn.empty())
      return nullptr;
    Socket& socket = found->second;
    SharedFrame frame = std::move(socket.in_turn.front());
    socket.in_turn.pop_front();
    socket.in_turn_bytes -= frame->size();
    return frame;
  }

  /** True if frames are left for which no timer runs. */
  bool StartsWaiting(LinkId link) {
    OrderedLock lock(mutex_);
    const auto found = sockets_.find(link);
    if (found == sockets_.end() || found->second.in_turn.empty())
      return false;
    return !std::exchange(found->second.waits_for_turn, true);
  }

  /** False if the connection has been closed. */
  bool EndsWaiting(LinkId link) {
    OrderedLock lock(mutex_);
    const auto found = sockets_.find(link);
    if (found == sockets_.end())
      return false;
    found->second.waits_for_turn = false;
    return true;
  }

  static void CloseNow(Connection& connection) {
    websocketpp::lib::error_code error;
    connection.close(websocketpp::close::status::normal, "", error);
    if (error &&
        connection.get_state() == websocketpp::session::state::connecting)
      connection.terminate(error);
  }

  void RemoveSocket(LinkId link) {
    {
      OrderedLock lock(mutex_);
      sockets_.erase(link);
    }
    events_.closed(link);
  }

  const PeerSocketLimits limits_;
  const PeerSocketEvents events_;
  Server server_;
  Client client_;
  asio::strand<asio::io_context::executor_type> accept_strand_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  mutable OrderedMutex mutex_{LockRank::kPeer};
  std::unordered_map<LinkId, Socket> sockets_;
  LinkId next_link_ = 1;
  bool stopped_ = false;
};

PeerSockets::PeerSockets(boost::asio::io_context& context,
                         PeerSocketLimits limits,
                         PeerSocketEvents events)
    : impl_(std::make_unique<Impl>(context, limits, std::move(events))) {}

PeerSockets::~PeerSockets() = default;

void PeerSockets::Listen(const Endpoint& endpoint) {
  impl_->Listen(endpoint);
}

LinkId PeerSockets::ReserveLink() {
  return impl_->ReserveLink();
}

void PeerSockets::Dial(LinkId link, const Endpoint& endpoint) {
  impl_->Dial(link, endpoint);
}

bool PeerSockets::Send(LinkId link, std::string frame) {
  return impl_->Send(link, std::move(frame));
}

bool PeerSockets::SendInTurn(LinkId link,
                             const std::vector<SharedFrame>& frames) {
  return impl_->SendInTurn(link, frames);
}

void PeerSockets::Close(LinkId link) {
  impl_->Close(link);
}

void PeerSockets::MarkAuthenticated(LinkId link) {
  impl_->MarkAuthenticated(link);
}

void PeerSockets::Stop() {
  impl_->Stop();
}

}  // namespace mangodoor
