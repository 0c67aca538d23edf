#ifndef REQUEST_IO_BACKEND_ATTEMPT_H_
#define REQUEST_IO_BACKEND_ATTEMPT_H_

#include <boost/asio/spawn.hpp>
#include <boost/optional.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "connection/io/backend_connection_pool.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "connection/io/strand_signal.h"
#include "request/attempt.h"
#include "request/io/body_reader.h"
#include "request/io/message_head.h"
#include "request/io/outgoing_request.h"

namespace mangodoor {

/**
 * One attempt: a reserved backend server, a connection to it, and the
 * response up to its head. Used on the strand of its session.
 */
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
 public:
  BackendAttempt(const SessionContext& context,
                 Strand strand,
                 const OutgoingRequest& request,
                 ChosenServer server);
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  /**
   * Connects, checks again, sends, and reads the head of the response.
   * `sent` is called once head and buffered body were handed over.
   */
  AttemptReport Run(const std::function<void()>& sent, YieldContext yield);

  /** Makes Run, or the relay of the response, end soon. */
  void Abort(AttemptReport::End end, ErrorKind error = ErrorKind::kInternal);

  /** Reads more of the response into buffer(). */
  boost::system::error_code Fill(YieldContext yield);

  /** Sends more of the request's body. */
  boost::system::error_code Write(std::string_view data, YieldContext yield);

  /** Ends the attempt. A connection is kept only after a whole response. */
  void Finish(AttemptResult::End end, bool response_whole);

  /** Ends an attempt whose response, if there is one, is not passed on. */
  void FinishUnused(const AttemptReport& report);

  const ChosenServer& server() const { return server_; }
  /** From the choice of the server until Run ended. */
  Duration latency() const { return result_.latency; }
  /** Status of the server's answer; 0 if none came. */
  /** 0 until the head of the response has come. */
  int status() const {
    return has_header_ ? static_cast<int>(header_.result_int()) : 0;
  }
  bool connection_was_reused() const { return was_reused_; }
  bool finished() const { return finished_; }
  bool aborted() const { return aborted_.has_value(); }
  AttemptReport& report() { return report_; }
  ResponseParser& parser() { return *parser_; }
  const ResponseHeader& header() const { return header_; }
  /** The part of the body that was read before Run returned. */
  std::string TakeHeldBody() { return std::move(held_body_); }
  boost::beast::flat_buffer& buffer() { return connection_->buffer; }

 private:
  bool Connect(YieldContext yield);
  std::optional<AttemptReport::End> CheckAgain();
  std::optional<ErrorKind> CheckAuthorisation();
  bool Send(YieldContext yield);
  AttemptReport::End ReadHead(YieldContext yield);
  std::optional<AttemptReport::End> ReadOneHead(YieldContext yield);
  bool AnswersThisRequest() const;
  bool SkipBody(YieldContext yield);
  AttemptReport::End HoldBody(YieldContext yield);
  AttemptReport::End Classify() const;
  bool IsBroken() const;
  AttemptReport End(AttemptReport::End end);
  void NoteLoad();

  const SessionContext& context_;
  Strand strand_;
  const OutgoingRequest& request_;
  ChosenServer server_;
  BackendConnectionPtr connection_;
  std::shared_ptr<OneShotChannel<BackendConnectionPtr>> connecting_;
  boost::optional<ResponseParser> parser_;
  ResponseHeader header_;
  std::string held_body_;
  AttemptReport report_;
  std::optional<AttemptReport::End> aborted_;
  AttemptResult result_;
  /** When the server was reserved; its latency counts from then. */
  TimePoint started_at_;
  bool has_header_ = false;
  bool was_reused_ = false;
  bool finished_ = false;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_BACKEND_ATTEMPT_H_
