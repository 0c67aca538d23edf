#ifndef CONNECTION_IO_CALLER_SESSION_H_
#define CONNECTION_IO_CALLER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "connection/io/session_context.h"
#include "connection/io/strand.h"

namespace mangodoor {

/** A caller's connection. Defined in caller_session.cc. */
class CallerSession;

/** Notifications of a session, called on its strand. */
struct SessionCallbacks {
  /** Called with +1 when a request begins, and with -1 when it ends. */
  std::function<void(int)> running_requests_changed;
  std::function<void()> ended;
};

/**
 * Serves one caller's connection until it ends. The session runs on the
 * socket's executor, which is a strand.
 */
std::weak_ptr<CallerSession> StartCallerSession(CallerSocket socket,
                                                const SessionContext& context,
                                                SessionCallbacks callbacks);

/**
 * Closes the connection once no request is running on it. Can be called on any
 * thread.
 */
void DrainSession(CallerSession& session);

}  // namespace mangodoor

#endif  // CONNECTION_IO_CALLER_SESSION_H_
