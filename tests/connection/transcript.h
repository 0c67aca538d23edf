#ifndef TESTS_CONNECTION_TRANSCRIPT_H_
#define TESTS_CONNECTION_TRANSCRIPT_H_

#include <string>
#include <vector>

#include "connection/response_parser.h"
#include "connection/server_bytes.h"

namespace mangodoor {

/** A request that a server has read, and where its answer begins. */
struct RequestReceipt {
  std::string id;
  std::string method;
  std::string path;
  /** The decoded body, as far as the server has read it. */
  std::string body;
  bool has_whole_body = false;
  /** Offsets of the written pieces in the bytes of the connection. */
  std::vector<size_t> pieces;
};

/** All that happened on one connection of a server. */
struct ServerConnectionRecord {
  std::vector<RequestReceipt> receipts;
  /** What the server wrote. */
  std::string bytes;
  /** How the server ended the connection; kOpen if it did not. */
  StreamEnd end = StreamEnd::kOpen;
};

/** All that happened on one connection of a caller. */
struct CallerConnectionRecord {
  /** Indices of the requests that were sent. */
  std::vector<size_t> requests;
  /** What the caller read. */
  std::string bytes;
  /** How the connection ended; kOpen if it did not in time. */
  StreamEnd end = StreamEnd::kOpen;
};

/** What callers and servers have seen. */
struct Transcript {
  std::vector<CallerRequest> requests;
  std::vector<CallerConnectionRecord> callers;
  std::vector<ServerConnectionRecord> servers;
  /** True if responses state the id of their request. */
  bool has_ids = true;
};

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_TRANSCRIPT_H_
