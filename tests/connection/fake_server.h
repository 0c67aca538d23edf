#ifndef TESTS_CONNECTION_FAKE_SERVER_H_
#define TESTS_CONNECTION_FAKE_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "process/ordered_mutex.h"
#include "version/endpoint.h"

namespace mangodoor {

/** A blocking connection of a test, with a time limit for each read. */
class TestConnection {
 public:
  explicit TestConnection(boost::asio::ip::tcp::socket socket);
  /** Connects to `endpoint`. */
  explicit TestConnection(const Endpoint& endpoint);
  ~TestConnection();

  /** False if the connection has failed. */
  bool Write(const std::string& data);
  /**
   * Reads a head with its empty line. Returns an empty string if the connection
   * ends or the time limit passes first.
   */
  std::string ReadHead();
  std::string ReadExactly(size_t size);
  /** Reads until the other side closes, or until the time limit. */
  std::string ReadAll();
  /** Reads a head and the body that its Content-Length announces. */
  std::string ReadMessage();
  /** True if the other side closes within the time limit. */
  bool ClosedByPeer();
  void Close();
  /** Ends the connection. Can be called while another thread uses it. */
  void Shutdown();
  /** Sends an end of stream. The other side can still write. */
  void ShutdownSend();
  /**
   * Waits until the other side has acknowledged all bytes, and the end of the
   * stream after ShutdownSend(). False if it does not within the time limit.
   */
  bool WaitUntilAcknowledged();
  /** Resets the connection, which stays usable for Shutdown. */
  void Reset();
  /** Reads what arrives next into buffer(). False if nothing arrives. */
  bool ReadSome();
  /** Sends each write at once, in a segment of its own. */
  void SendSmallWrites();
  const std::string& buffer() const { return buffer_; }
  bool timed_out() const { return timed_out_; }
  /** True if the other side has reset the connection. */
  bool reset_by_peer() const { return reset_by_peer_; }

 private:
  friend class FakeServer;

  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::string buffer_;
  bool timed_out_ = false;
  bool reset_by_peer_ = false;
};

/** The body of a message, as far as it has arrived. */
struct ReceivedBody {
  std::string bytes;
  bool is_whole = false;
};

/** Reads the body that follows `head`, with a length or in chunks. */
ReceivedBody ReadBody(TestConnection& connection, const std::string& head);

/** A backend server that runs a script for each connection. */
class FakeServer {
 public:
  using Script = std::function<void(TestConnection&)>;

  explicit FakeServer(Script script);
  ~FakeServer();

  Endpoint endpoint() const;
  int connections() const { return connections_; }

 private:
  void Accept();

  Script script_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> connections_{0};
  OrderedMutex mutex_{LockRank::kStandin};
  std::vector<std::thread> threads_;
  std::vector<std::shared_ptr<TestConnection>> open_;
  std::thread accept_thread_;
};

/** Returns a script that responds to every request with 200 and `body`. */
FakeServer::Script RespondToAll(const std::string& body);

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_FAKE_SERVER_H_
