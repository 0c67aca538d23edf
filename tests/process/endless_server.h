#ifndef TESTS_PROCESS_ENDLESS_SERVER_H_
#define TESTS_PROCESS_ENDLESS_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "process/socket_server.h"

namespace mangodoor {

/** Bytes that a faulty server repeats after the start of a response. */
struct EndlessResponse {
  const char* name;
  std::string begin;
  std::string repeated;
};

inline void PrintTo(const EndlessResponse& response, std::ostream* out) {
  *out << response.name;
}

/** Responses whose parts before or after the body have no end. */
inline std::vector<EndlessResponse> EndlessResponses() {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {{"header field", "HTTP/1.1 200 OK\r\nX: ", "a"},
          {"header fields", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
          {"status line", "HTTP/1.1 200 ", "a"},
          {"chunk size", chunked, "0"},
          {"chunk extension", chunked + "1;a=", "a"},
          {"trailer field", chunked + "0\r\nX: ", "a"},
          {"trailer fields", chunked + "0\r\n", "X: a\r\n"}};
}

constexpr size_t kBlockBytes = 64 * 1024;
/** Ends a test in which the peer reads on. */
constexpr size_t kMaxWrittenBytes = 256 * 1024 * 1024;

/**
 * Writes until the peer closes the connection, `stopping` is set or
 * kMaxWrittenBytes are written. Adds the bytes to `written` meanwhile.
 */
inline void WriteEndless(boost::asio::ip::tcp::socket& socket,
                         const EndlessResponse& message,
                         const std::atomic<bool>& stopping,
                         std::atomic<size_t>& written) {
  std::string block = message.begin;
  boost::system::error_code error;
  while (!error && !stopping && written < kMaxWrittenBytes) {
    while (block.size() < kBlockBytes)
      block += message.repeated;
    written += boost::asio::write(socket, boost::asio::buffer(block), error);
    block.clear();
  }
}

/**
 * Answers the first connection with an endless response, until the peer closes
 * it, and later ones with `response`.
 */
class EndlessServer {
 public:
  EndlessServer(EndlessResponse endless, std::string response)
      : endless_(std::move(endless)),
        response_(std::move(response)),
        server_([this](boost::asio::ip::tcp::socket& socket) {
          boost::system::error_code ignored;
          if (std::exchange(first_, false))
            WriteEndless(socket, endless_, stopping_, bytes_sent_);
          else
            boost::asio::write(socket, boost::asio::buffer(response_), ignored);
        }) {}

  ~EndlessServer() { stopping_ = true; }

  Endpoint endpoint() const { return server_.endpoint(); }

  /** Bytes of the endless response that the peer has taken so far. */
  size_t bytes_sent() const { return bytes_sent_; }

 private:
  const EndlessResponse endless_;
  const std::string response_;
  bool first_ = true;
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> bytes_sent_{0};
  SocketServer server_;
};

/**
 * More than a client may read of an endless response, with the buffers of both
 * sockets.
 */
constexpr size_t kMaxEndlessBytes = 16 * 1024 * 1024;

}  // namespace mangodoor

#endif  // TESTS_PROCESS_ENDLESS_SERVER_H_
