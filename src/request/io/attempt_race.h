#ifndef REQUEST_IO_ATTEMPT_RACE_H_
#define REQUEST_IO_ATTEMPT_RACE_H_

#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "connection/io/caller_stream.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "connection/io/watchdog.h"
#include "request/io/backend_attempt.h"
#include "request/request_trace.h"

namespace mangodoor {

/**
 * Chooses backend servers and runs the attempts of one request: one at a time,
 * with at most one hedge in parallel.
 */
class AttemptRace {
 public:
  using Choice = std::variant<ChosenServer, ErrorKind>;

  AttemptRace(const SessionContext& context,
              CallerStream& stream,
              const OutgoingRequest& request);
  AttemptRace(const AttemptRace&) = delete;
  AttemptRace& operator=(const AttemptRace&) = delete;

  /**
   * Counts the request towards the retry budget, and calls `passed` once its
   * deadline is reached. Called once, before ChooseServer.
   */
  void WatchDeadline(std::function<void()> passed);
  void StopWatchingDeadline() { watchdog_.Clear(); }

  /** Reserves a server, and waits for one if all are busy. */
  Choice ChooseServer(YieldContext yield);

  /**
   * Runs an attempt, and in parallel a hedge if the attempt takes long. Returns
   * the report of one of them, and adds the other one to `history`. `on_sent`
   * is called once the attempt has sent its request.
   */
  AttemptReport Run(const ChosenServer& server,
                    AttemptHistory& history,
                    const std::function<void()>& on_sent,
                    YieldContext yield);

  /**
   * Makes the running call of ChooseServer or Run, and later calls, return
   * soon.
   */
  void Interrupt(AttemptReport::End end);

  /**
   * While Run is running, the attempt that is not the hedge; afterwards, the
   * attempt that Run reported. Null once it is released.
   */
  const std::shared_ptr<BackendAttempt>& attempt() const { return attempt_; }

  /** Ends the reported attempt without forwarding its response. */
  void Release(const AttemptReport& report);

  /** All attempts that have ended, for the log. */
  const std::vector<AttemptTrace>& traces() const { return traces_; }

  /** Faulty responses that the attempts have seen, for the log. */
  const ResponseFaults& response_faults() const { return response_faults_; }

  /** Ends all attempts after an exception. */
  void Abandon(YieldContext yield);

 private:
  using ChoiceChannel = OneShotChannel<Choice>;

  Choice WaitForServer(YieldContext yield);
  std::shared_ptr<ChoiceChannel> NewChannel();
  ServerRequirements Requirements() const;
  void ArmHedge(const AttemptHistory& history);
  void StartHedge();
  void RunHedge(YieldContext yield);
  AttemptReport JoinHedge(const AttemptReport& report,
                          AttemptHistory& history,
                          YieldContext yield);
  void ArmWatchdog();
  void AddTrace(const BackendAttempt& attempt,
                const AttemptReport& report,
                bool hedge);

  const SessionContext& context_;
  Strand strand_;
  const OutgoingRequest& request_;
  std::vector<BackendServerId> tried_servers_;
  std::vector<AttemptTrace> traces_;
  ResponseFaults response_faults_;
  /** Time spent waiting for the latest server. */
  Duration server_wait_{};
  std::shared_ptr<BackendAttempt> attempt_;
  std::shared_ptr<BackendAttempt> hedge_;
  std::optional<AttemptReport> hedge_report_;
  StrandSignal hedge_ended_;
  std::optional<TimePoint> hedge_at_;
  std::optional<Duration> hedge_delay_;
  std::optional<AttemptReport::End> interrupted_;
  std::shared_ptr<ChoiceChannel> pending_choice_;
  std::function<void()> deadline_passed_;
  Watchdog& watchdog_;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_ATTEMPT_RACE_H_
