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

/** What the rest of the process does about a change. No lock is held. */
struct PropagationHooks {
  /** A version is in force, or a planned change of it. */
  std::function<void(const Version&)> version_in_force;
  /** These are the instances to keep connections to. */
  std::function<void(const std::vector<Instance>&)> peers_selected;
  std::function<void()> entered_service;
};

/**
 * Carries out the decisions of version_spread: reads the platform's services,
 * checks documents, and sends what is to be sent. Callbacks of the sources
 * refer to it, so that it must outlive the running of the workers.
 */
class PropagationRunner {
 public:
  PropagationRunner(Tables& tables,
                    const Clock& clock,
                    PeerTransport& peers,
                    DocumentSource& documents,
                    InstanceListSource& lists,
                    PropagationHooks hooks);

  /**
   * To be called every kPropagationTick, by one thread at a time. `spare` goes
   * into heartbeats; `random` is from 0 up to 1.
   */
  void Tick(std::vector<SpareShare> spare, double random);

  /** Handles the messages that concern versions and membership. */
  void HandleMessage(const InstanceId& from, const PeerMessage& message);

  /** To be called for each peer that connects, before its messages. */
  void HandleConnected(const InstanceId& peer);

 private:
  void Run(const PropagationActions& actions, double random);
  void StartRead(ReadKind kind, uint64_t known_version, double random);
  void HandleAnswer(FinishedRead read,
                    const DocumentAnswer& answer,
                    double random);
  void HandleDocument(const InstanceId& from, const DocumentText& document);
  void HandleList(const std::optional<InstanceList>& list);
  void ConsiderServiceDocument(const std::string& text,
                               const RejectedDocument& named);
  void Report(ApplyOutcome outcome,
              const VersionPtr& before,
              const Version& candidate,
              const InstanceId& source);
  void RecordRejected(const RejectedDocument& document,
                      const InstanceId& source,
                      const std::string& reason);

  Tables& tables_;
  const Clock& clock_;
  PeerTransport& peers_;
  DocumentSource& documents_;
  InstanceListSource& lists_;
  PropagationHooks hooks_;
};

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_IO_PROPAGATION_RUNNER_H_
