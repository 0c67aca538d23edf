#ifndef TESTS_SOAK_FLEET_SOAK_CALLER_H_
#define TESTS_SOAK_FLEET_SOAK_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform_fleet/platform_fleet.h"
#include "soak_fleet/soak_record.h"

namespace mangodoor {

/** Copies what a caller sees of a response. */
void SetResponse(ObservedRequest& request, const ClientResponse& response);

/** Receives what a caller observes. */
struct SoakObserver {
  std::function<void(const ObservedRequest&)> on_request;
  std::function<void(const StrayBytes&)> on_stray_bytes;
};

/**
 * A caller that sends requests of all kinds over persistent connections and
 * checks each connection for bytes that no request waits for.
 */
class SoakCaller {
 public:
  SoakCaller(const PlatformFleet& fleet, int number, SoakObserver observer);

  void SendNext();
  /** Reads what still arrives on the open connections, and closes them. */
  void Finish();

 private:
  struct Connection {
    std::unique_ptr<HttpConnection> http;
    std::string last_id;
  };

  void LookUp();
  void CheckIdleConnections();
  const Endpoint* ChooseAddress() const;
  ObservedRequest NextRequest(const Endpoint& address) const;
  void ReportStray(const Connection& connection, const std::string& bytes);

  const PlatformFleet& fleet_;
  const int number_;
  const SoakObserver observer_;
  int request_count_ = 0;
  std::vector<Endpoint> addresses_;
  TimePoint looked_up_at_{};
  std::map<Endpoint, Connection> connections_;
};

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_CALLER_H_
