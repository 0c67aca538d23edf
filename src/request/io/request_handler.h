#ifndef REQUEST_IO_REQUEST_HANDLER_H_
#define REQUEST_IO_REQUEST_HANDLER_H_

#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>
#include <string>

#include "connection/io/caller_stream.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "connection/io/watchdog.h"
#include "request/attempt.h"
#include "request/io/attempt_race.h"
#include "request/io/body_reader.h"
#include "request/io/body_upload.h"
#include "request/io/outgoing_request.h"
#include "request/io/response_relay.h"

namespace mangodoor {

/** What a connection keeps between its requests. */
struct CallerState {
  std::string address;
  /** Port of the caller; it tells the caller's connections apart. */
  uint16_t port = 0;
  /** The last key that was presented, and its digest. */
  std::string key;
  std::string key_digest;
  /** True if the connection is to be closed after the running request. */
  bool draining = false;
};

/**
 * Handles one request, from its header to its response. Used on the strand of
 * its session.
 */
class RequestHandler {
 public:
  /** `parser` has parsed the complete header of the request. */
  RequestHandler(const SessionContext& context,
                 CallerStream& stream,
                 CallerState& caller,
                 RequestParser& parser);
  ~RequestHandler();
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  /** Handles the request. False if the connection must be closed afterwards. */
  bool Run(YieldContext yield);

 private:
  bool CheckAndRun(YieldContext yield);
  bool IsAddressRequest() const;
  bool ServeAddresses(YieldContext yield);
  std::optional<ErrorKind> PrepareRequest();
  bool MayBeCutByStop() const;
  std::optional<ErrorKind> Admit(YieldContext yield);
  std::optional<ErrorKind> AdmitByUsage(const ClientAccountId& account,
                                        YieldContext yield);
  bool AskLeader(const ClientAccountId& account, YieldContext yield);
  std::optional<ErrorKind> ReadBody(YieldContext yield);
  bool RunAttempts(YieldContext yield);
  bool ForwardResponse(YieldContext yield);
  void FinishExchange(RelayEnd end, YieldContext yield);
  AttemptResult::End ResultOfRelay(RelayEnd end) const;
  bool BreakOffResponse(RelayEnd end);
  bool RunAndCatchErrors(YieldContext yield);
  void RecordTrace();
  void ObserveDurations() const;
  bool SendError(const ErrorPlan& plan, YieldContext yield);
  bool SendResponse(const std::string& response, YieldContext yield);
  bool CloseCaller();
  void WatchForHangUp();
  const std::string& KeyDigest();
  /** True if the connection is closed after the response. */
  bool ClosesAfterResponse() const;
  void StopAttempt(const AttemptReport& report, YieldContext yield);
  void Interrupt(AttemptReport::End end);
  TimePoint Now() const { return context_.clock.Now(); }

  const SessionContext& context_;
  CallerStream& stream_;
  CallerState& caller_;
  RequestParser& parser_;
  RequestHeader header_;
  BodyUpload upload_;
  OutgoingRequest request_;
  AttemptHistory history_;
  RequestTrace trace_;
  AttemptRace race_;
  /**
   * True if the rest of the body may be read after an error, so that the
   * connection can be kept.
   */
  bool may_skip_body_ = true;
  bool must_close_ = false;
  bool is_address_request_ = false;
  /** Set if the rate is exceeded: time after which the caller should retry. */
  std::optional<Duration> retry_after_;
  /** Set once the request has to end early. */
  std::optional<AttemptReport::End> interrupted_;
  /**
   * Interrupts the wait for admission, for the body or for the end of a
   * response that is being forwarded; null if there is no such wait.
   */
  std::function<void()> interrupt_wait_;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_REQUEST_HANDLER_H_
