#include "connection/fake_server.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds kReadLimit{5};

size_t ContentLength(const std::string& head) {
  const size_t found = head.find("Content-Length: ");
  return found == std::string::npos ? 0 : std::stoul(head.substr(found + 16));
}

/** Reads a line without its end; empty if the connection ends first. */
std::string ReadLine(TestConnection& connection) {
  while (connection.buffer().find("\r\n") == std::string::npos) {
    if (!connection.ReadSome())
      return "";
  }
  const size_t size = connection.buffer().find("\r\n");
  return connection.ReadExactly(size + 2).substr(0, size);
}

ReceivedBody ReadChunks(TestConnection& connection) {
  ReceivedBody body;
  for (;;) {
    const std::string line = ReadLine(connection);
    if (line.empty())
      return body;
    const size_t size = std::stoull(line, nullptr, 16);
    if (size == 0) {
      body.is_whole = connection.ReadExactly(2) == "\r\n";
      return body;
    }
    const std::string data = connection.ReadExactly(size);
    body.bytes += data;
    if (data.size() < size || connection.ReadExactly(2).size() < 2)
      return body;
  }
}

}  // namespace

ReceivedBody ReadBody(TestConnection& connection, const std::string& head) {
  if (head.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos)
    return ReadChunks(connection);
  const size_t size = ContentLength(head);
  ReceivedBody body;
  body.bytes = connection.ReadExactly(size);
  body.is_whole = body.bytes.size() == size;
  return body;
}

TestConnection::TestConnection(tcp::socket socket)
    : socket_(std::move(socket)) {
  timeval limit{kReadLimit.count(), 0};
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
             sizeof(limit));
}

TestConnection::TestConnection(const Endpoint& endpoint) : socket_(io_) {
  socket_.connect({asio::ip::make_address(endpoint.address), endpoint.port});
  timeval limit{kReadLimit.count(), 0};
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
             sizeof(limit));
}

TestConnection::~TestConnection() = default;

bool TestConnection::Write(const std::string& data) {
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(data), error);
  // A reset is told once: a read after this write sees an end of file.
  reset_by_peer_ |= error == asio::error::connection_reset;
  return !error;
}

bool TestConnection::ReadSome() {
  char piece[16384];
  // Asio is not used here, since its blocking reads poll without a time limit.
  const ssize_t size = ::recv(socket_.native_handle(), piece, sizeof(piece), 0);
  timed_out_ = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  reset_by_peer_ |= size < 0 && errno == ECONNRESET;
  if (size <= 0)
    return false;
  buffer_.append(piece, static_cast<size_t>(size));
  return true;
}

std::string TestConnection::ReadHead() {
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadSome())
      return "";
  }
  return ReadExactly(end + 4);
}

std::string TestConnection::ReadExactly(size_t size) {
  while (buffer_.size() < size && ReadSome()) {
  }
  std::string result = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return result;
}

std::string TestConnection::ReadAll() {
  while (ReadSome()) {
  }
  return std::exchange(buffer_, "");
}

std::string TestConnection::ReadMessage() {
  const std::string head = ReadHead();
  return head + ReadExactly(ContentLength(head));
}

bool TestConnection::ClosedByPeer() {
  while (ReadSome()) {
  }
  return !timed_out_;
}

void TestConnection::Close() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
}

void TestConnection::Shutdown() {
  ::shutdown(socket_.native_handle(), SHUT_RDWR);
}

void TestConnection::ShutdownSend() {
  ::shutdown(socket_.native_handle(), SHUT_WR);
}

bool TestConnection::WaitUntilAcknowledged() {
  constexpr std::chrono::milliseconds kStep{1};
  for (std::chrono::milliseconds waited{0}; waited < kReadLimit;
       waited += kStep) {
    int unacknowledged = 0;
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0)
      return false;
    if (unacknowledged == 0)
      return true;
    std::this_thread::sleep_for(kStep);
  }
  return false;
}

// Disconnecting a socket resets its connection and keeps its descriptor, which
// another thread may be about to use.
void TestConnection::Reset() {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  [[maybe_unused]] const int result =
      ::connect(socket_.native_handle(), &none, sizeof(none));
}

void TestConnection::SendSmallWrites() {
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

FakeServer::FakeServer(Script script)
    : script_(std::move(script)),
      acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      accept_thread_([this] { Accept(); }) {}

FakeServer::~FakeServer() {
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  accept_thread_.join();
  {
    OrderedLock lock(mutex_);
    for (const auto& connection : open_)
      connection->Shutdown();
  }
  for (std::thread& thread : threads_)
    thread.join();
}

Endpoint FakeServer::endpoint() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void FakeServer::Accept() {
  for (;;) {
    boost::system::error_code error;
    tcp::socket socket = acceptor_.accept(error);
    if (error)
      return;
    ++connections_;
    auto connection = std::make_shared<TestConnection>(std::move(socket));
    OrderedLock lock(mutex_);
    open_.push_back(connection);
    threads_.emplace_back([this, connection] {
      script_(*connection);
      connection->Shutdown();
    });
  }
}

FakeServer::Script RespondToAll(const std::string& body) {
  return [body](TestConnection& connection) {
    while (!connection.ReadMessage().empty()) {
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  };
}

}  // namespace mangodoor
