#ifndef REQUEST_IO_BODY_UPLOAD_H_
#define REQUEST_IO_BODY_UPLOAD_H_

#include <boost/asio/spawn.hpp>
#include <memory>
#include <optional>
#include <string>

#include "connection/io/caller_stream.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "request/io/backend_attempt.h"
#include "request/io/body_reader.h"
#include "request/io/message_head.h"

namespace mangodoor {

/** The body of a request on its way from the caller to a backend server. */
class BodyUpload {
 public:
  BodyUpload(const SessionContext& context,
             CallerStream& stream,
             RequestParser& parser);

  /** Reads the body until it is whole or 64 KiB are held. */
  std::optional<ErrorKind> Buffer(YieldContext yield);

  /** Framing of the body towards backend servers. Called after Buffer. */
  Framing framing() const;

  /** The held bytes in that framing; whole if whole(). */
  std::string Encoded() const;

  bool whole() const { return parser_.is_done(); }
  bool held_any() const { return !held_.empty(); }

  /** Streams the rest to `attempt` on a coroutine of its own. */
  void Start(const std::shared_ptr<BackendAttempt>& attempt);

  /** Ends the streaming, if it still runs, and waits for it. */
  void Stop(YieldContext yield);

 private:
  std::optional<ErrorKind> ReadMore(YieldContext yield);
  void Stream(BackendAttempt& attempt, YieldContext yield);

  const SessionContext& context_;
  CallerStream& stream_;
  RequestParser& parser_;
  std::string held_;
  bool streaming_ = false;
  bool stopping_ = false;
  StrandSignal ended_;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_BODY_UPLOAD_H_
