#ifndef PROCESS_VERSIONS_IO_PROPAGATION_RUNNER_H_
#define PROCESS_VERSIONS_IO_PROPAGATION_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/membership/instance_list_source.h"
#include "process/peers/peer_transport.h"
#include "process/tables.h"
#include "process/versions/document_source.h"
#include "process/versions/version_propagation.h"

namespace mangodoor {

/** Callbacks into the rest of the process, called with no lock held. */
struct PropagationHooks {
  /** A new version, or a planned change of the current one, came into force. */
  std::function<void(const Version&)> version_in_force;
  /** The set of instances to keep connections to has changed. */
  std::function<void(const std::vector<Instance>&)> peers_selected;
  /** This instance went into service. */
  std::function<void()> entered_service;
};

/**
 * Carries out what version_propagation decides: reads the configuration service
 * and the platform's list of instances, checks documents and sends messages to
 * peers. Must outlive the worker threads, on which the sources call back.
 */
class PropagationRunner {
 public:
  PropagationRunner(Tables& tables,
                    const Clock& clock,
                    PeerTransport& peers,
                    DocumentSource& document_source,
                    InstanceListSource& list_source,
                    PropagationHooks hooks);

  /**
   * Must be called every kPropagationTick, by one thread at a time. `spare` is
   * sent in heartbeats; `random` is a random number in [0, 1).
   */
  void Tick(std::vector<AccountSpareTokens> spare, double random);

  /** Handles a message that concerns versions or membership. */
  void HandleMessage(const InstanceId& from, const PeerMessage& message);

  /** Must be called when a peer connects, before its messages are handled. */
  void HandleConnected(const InstanceId& peer);

 private:
  void PerformActions(const PropagationActions& actions, double random);
  void StartRead(ReadKind kind, uint64_t known_version, double random);
  void HandleAnswer(FinishedRead read,
                    const DocumentAnswer& answer,
                    double random);
  void HandleDocument(const InstanceId& from, const DocumentText& document);
  void HandleList(const std::optional<InstanceList>& list);
  void ConsiderServiceDocument(const std::string& text,
                               const RejectedDocument& identity);
  void ReportOutcome(ApplyOutcome outcome,
                     const VersionPtr& before,
                     const Version& candidate,
                     const InstanceId& source);
  void RecordRejected(const RejectedDocument& document,
                      const InstanceId& source,
                      const std::string& reason);

  Tables& tables_;
  const Clock& clock_;
  PeerTransport& peers_;
  DocumentSource& document_source_;
  InstanceListSource& list_source_;
  PropagationHooks hooks_;
};

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_IO_PROPAGATION_RUNNER_H_
