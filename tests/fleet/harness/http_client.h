#ifndef TESTS_FLEET_HARNESS_HTTP_CLIENT_H_
#define TESTS_FLEET_HARNESS_HTTP_CLIENT_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "version/endpoint.h"

namespace mangodoor {

struct ClientRequest {
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> fields;
  std::string body;
};

struct ClientResponse {
  /** 0 if no complete response arrived. */
  int status = 0;
  std::string body;
  /** The Mangodoor-Error header. */
  std::string error;
  /** The Mangodoor-Outcome header. */
  std::string outcome;
  /** The server closes the connection after this response. */
  bool closes = false;
};

/** A caller's connection, kept alive between requests. */
class HttpConnection {
 public:
  explicit HttpConnection(const Endpoint& endpoint);
  ~HttpConnection();

  /** Sends one request and waits for the complete response. */
  ClientResponse Call(
      const ClientRequest& request,
      std::chrono::milliseconds timeout = std::chrono::seconds(5));

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Sends one request on a new connection. */
ClientResponse CallOnce(
    const Endpoint& endpoint,
    const ClientRequest& request,
    std::chrono::milliseconds timeout = std::chrono::seconds(5));

}  // namespace mangodoor

#endif  // TESTS_FLEET_HARNESS_HTTP_CLIENT_H_
