#ifndef REQUEST_IO_BACKEND_ATTEMPT_H_
#define REQUEST_IO_BACKEND_ATTEMPT_H_

#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "connection/io/backend_connection_pool.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "connection/io/strand_signal.h"
#include "connection/response_fault.h"
#include "request/attempt.h"
#include "request/io/outgoing_request.h"
#include "request/io/server_response.h"
#include "request/response_owner.h"

namespace mangodoor {

/**
 * One attempt: connects to a reserved backend server, sends the request, and
 * reads the response. Used on the strand of its session.
 */
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
 public:
  BackendAttempt(const SessionContext& context,
                 Strand strand,
                 const OutgoingRequest& request,
                 ChosenServer server,
                 ResponseFaults& faults);
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  /**
   * Connects, checks again that the request may be sent, sends it, and reads
   * the head of the response. Also buffers the start of the response body if
   * `buffers_responses` is set in the HTTP profile. `on_sent` is called after
   * the head and the buffered part of the request body were sent.
   */
  AttemptReport Run(const std::function<void()>& on_sent, YieldContext yield);

  /** Makes Run, or the forwarding of the response, end soon. */
  void Abort(AttemptReport::End end, ErrorKind error = ErrorKind::kInternal);

  /**
   * Reads more of the body of `response` into buffer(). If the server has ended
   * its stream, finishes a body that ends with its connection.
   */
  boost::system::error_code ReadBodyPart(ServerResponse& response,
                                         YieldContext yield);

  /** Sends more of the request's body. */
  boost::system::error_code Write(std::string_view data, YieldContext yield);

  /**
   * Ends the attempt. The connection is kept only if the response was received
   * completely, or nothing was sent.
   */
  void Finish(AttemptResult::End end, bool response_complete);

  /** Counts a fault of response(), and records it for the log. */
  void RecordFault(ResponseFault fault) { RecordFault(fault, response_.get()); }

  /** Ends an attempt whose response, if there is one, is not forwarded. */
  void FinishUnused(const AttemptReport& report);

  const ChosenServer& server() const { return server_; }
  /** Time from the choice of the server to the end of Run. */
  Duration latency() const { return result_.latency; }
  /** Status of the response to the request; 0 if its head was not read. */
  int status() const { return response_ ? response_->status() : 0; }
  /** Requests with an id that the connection had carried before. */
  size_t earlier_requests() const { return earlier_requests_; }
  bool connection_was_reused() const { return was_reused_; }
  bool finished() const { return finished_; }
  bool aborted() const { return aborted_.has_value(); }
  AttemptReport& report() { return report_; }
  /**
   * The response to the request, not an interim one. Must be called only if Run
   * reported a response.
   */
  ServerResponse& response() { return *response_; }
  boost::beast::flat_buffer& buffer() { return connection_->buffer; }

 private:
  bool Connect(YieldContext yield);
  bool OpenOrReuse(YieldContext yield);
  std::optional<AttemptReport::End> RecheckBeforeSend();
  std::optional<ErrorKind> RecheckAuthorisation();
  bool Send(YieldContext yield);
  boost::system::error_code ReadSome(YieldContext yield);
  AttemptReport::End ReadResponseHead(YieldContext yield);
  std::optional<AttemptReport::End> ReadNextResponse(YieldContext yield);
  std::optional<AttemptReport::End> ReadHead(size_t& size, YieldContext yield);
  std::unique_ptr<ServerResponse> ParseHead(size_t size,
                                            bool is_response_to_head);
  std::optional<AttemptReport::End> SkipResponse(const ResponseOwner& owner,
                                                 ServerResponse& response,
                                                 YieldContext yield);
  std::optional<AttemptReport::End> SkipBody(ServerResponse& response,
                                             YieldContext yield);
  AttemptReport::End BufferBody(ServerResponse& response, YieldContext yield);
  AttemptReport::End ClassifyResponse();
  void RecordFault(ResponseFault fault, const ServerResponse* response);
  bool IsResponseComplete();
  AttemptReport FinishReport(AttemptReport::End end);
  void RecordLoad();

  const SessionContext& context_;
  Strand strand_;
  const OutgoingRequest& request_;
  ChosenServer server_;
  ResponseFaults& faults_;
  BackendConnectionPtr connection_;
  std::shared_ptr<OneShotChannel<BackendConnectionPtr>> connection_channel_;
  /** The response to the request, once its head has been read. */
  std::unique_ptr<ServerResponse> response_;
  AttemptReport report_;
  std::optional<AttemptReport::End> aborted_;
  AttemptResult result_;
  /** When the server was reserved. The latency is measured from here. */
  TimePoint started_at_;
  bool was_reused_ = false;
  size_t earlier_requests_ = 0;
  bool finished_ = false;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_BACKEND_ATTEMPT_H_
