#ifndef TESTS_FLEET_HARNESS_HTTP_CLIENT_H_
#define TESTS_FLEET_HARNESS_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
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
  /** Sends the body in chunks, without its length. */
  bool chunked = false;
  /** A response with a larger body counts as incomplete. */
  uint64_t max_response_body = uint64_t{64} * 1024 * 1024;
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
  /** Field names as they were received. */
  std::map<std::string, std::string> fields;
  /** The reason if bytes arrived that are not a response; otherwise empty. */
  std::string malformed;
};

/** Bytes that arrived while no request waits for a response. */
struct UnexpectedBytes {
  std::string bytes;
  /** The connection has ended. */
  bool closed = false;
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

  /** Returns the bytes that have arrived since the last response. */
  UnexpectedBytes ReadUnexpected();

  /** The same, for the bytes that arrive up to the close or the timeout. */
  UnexpectedBytes ReadUnexpectedUntilClose(std::chrono::milliseconds timeout);

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
