#ifndef REQUEST_IO_BODY_UPLOAD_H_
#define REQUEST_IO_BODY_UPLOAD_H_

#include <boost/asio/spawn.hpp>
#include <functional>
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

/** Passes the body of a request from the caller to a backend server. */
class BodyUpload {
 public:
  BodyUpload(const SessionContext& context,
             CallerStream& stream,
             RequestParser& parser);

  /**
   * Reads the body until it is complete or 64 KiB are buffered. Fails if the
   * caller makes no progress, or at `until`.
   */
  std::optional<ErrorKind> BufferBody(YieldContext yield,
                                      TimePoint until = TimePoint::max());

  /** Framing of the body towards backend servers. Called after BufferBody. */
  Framing framing() const;

  /**
   * The buffered bytes, encoded with framing(): the whole body if complete().
   */
  std::string EncodeBuffered() const;

  /** True if all of the body was received; it may not have been sent yet. */
  bool complete() const { return parser_.is_done(); }
  /** True while the rest of the body is being sent to an attempt. */
  bool streaming() const { return streaming_; }
  bool has_buffered() const { return !buffered_.empty(); }

  /**
   * Streams the rest of the body, if any, to `attempt` in a new coroutine.
   * `on_received` is called once the caller has sent all of it.
   */
  void Start(const std::shared_ptr<BackendAttempt>& attempt,
             std::function<void()> on_received);

  /** Stops the streaming, if it is still running, and waits for its end. */
  void Stop(YieldContext yield);

 private:
  std::optional<ErrorKind> ReadMore(YieldContext yield,
                                    TimePoint until = TimePoint::max());
  void StreamBody(BackendAttempt& attempt, YieldContext yield);

  const SessionContext& context_;
  CallerStream& stream_;
  RequestParser& parser_;
  std::string buffered_;
  bool streaming_ = false;
  bool stopping_ = false;
  StrandSignal ended_;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_BODY_UPLOAD_H_
