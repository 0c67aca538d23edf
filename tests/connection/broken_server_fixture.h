#ifndef TESTS_CONNECTION_BROKEN_SERVER_FIXTURE_H_
#define TESTS_CONNECTION_BROKEN_SERVER_FIXTURE_H_

#include <atomic>
#include <memory>
#include <string>

#include "connection/data_path_fixture.h"

namespace mangodoor {

/** Servers that respond in a way that no server should. */
class BrokenServerTest : public DataPathTest {
 protected:
  /** Each connection reads one request, sends `response` and closes. */
  void StartRespondingWith(const std::string& response) {
    StartWith([this, response](TestConnection& connection) {
      if (connection.ReadMessage().empty())
        return;
      ++received_;
      connection.Write(response);
    });
  }

  /**
   * Starts two servers; the one that receives the first request runs `first`.
   */
  void StartTwo(FakeServer::Script first) {
    const FakeServer::Script script = [this,
                                       first](TestConnection& connection) {
      for (;;) {
        if (connection.ReadMessage().empty())
          return;
        if (++received_ == 1) {
          first(connection);
          return;
        }
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    };
    server_ = std::make_unique<FakeServer>(script);
    second_ = std::make_unique<FakeServer>(script);
    Start({server_->endpoint(), second_->endpoint()});
  }

  std::atomic<int> received_{0};
  std::unique_ptr<FakeServer> second_;
};

/** Servers that repeat the id of a request, and sign their responses. */
class SigningServerTest : public BrokenServerTest {
 protected:
  SigningServerTest() {
    http_profile_.request_id = "X-Id";
    http_profile_.signature = "X-Signed";
    http_profile_.rejects_encoded_responses = true;
    http_profile_.buffers_responses = true;
    AllowFleetRetries();
  }

  static std::string Request(const std::string& id, const char* path) {
    return std::string("GET ") + path + " HTTP/1.1\r\nHost: a\r\nX-Id: " + id +
           "\r\n\r\n";
  }

  static std::string Post(const std::string& id) {
    return "POST /open HTTP/1.1\r\nHost: a\r\nX-Id: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
  }

  /** Responds to the request "one" with `status`. */
  static FakeServer::Script RespondWith(const std::string& status) {
    return [status](TestConnection& connection) {
      connection.ReadMessage();
      connection.Write("HTTP/1.1 " + status +
                       "\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n");
      connection.ReadMessage();
    };
  }

  static std::string SignedResponse(const std::string& id,
                                    const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
};

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_BROKEN_SERVER_FIXTURE_H_
