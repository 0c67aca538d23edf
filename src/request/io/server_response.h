#ifndef REQUEST_IO_SERVER_RESPONSE_H_
#define REQUEST_IO_SERVER_RESPONSE_H_

#include <string>

#include "request/io/body_reader.h"
#include "request/io/message_head.h"

namespace mangodoor {

/**
 * One response of a backend server while it is read. Each response on a
 * connection, also an interim or an extra one, has an object of its own, so
 * that nothing of it remains in the next.
 */
struct ServerResponse {
  ResponseParser parser;
  /** Set once the head has been read. */
  ResponseHeader header;
  /** The decoded start of the body. */
  std::string buffered_body;

  int status() const { return static_cast<int>(header.result_int()); }
};

}  // namespace mangodoor

#endif  // REQUEST_IO_SERVER_RESPONSE_H_
