#include "process/versions/io/propagation_runner.h"

#include <utility>

#include "process/versions/io/version_audit.h"
#include "version/io/digest.h"
#include "version/io/document_codec.h"

namespace mangodoor {

PropagationRunner::PropagationRunner(Tables& tables,
                                     const Clock& clock,
                                     PeerTransport& peers,
                                     DocumentSource& document_source,
                                     InstanceListSource& list_source,
                                     PropagationHooks hooks)
    : tables_(tables),
      clock_(clock),
      peers_(peers),
      document_source_(document_source),
      list_source_(list_source),
      hooks_(std::move(hooks)) {}

void PropagationRunner::Tick(std::vector<AccountSpareTokens> spare,
                             double random) {
  const VersionPtr before = VersionInForce(tables_.versions);
  if (const VersionPtr changed =
          RefreshPlannedChanges(tables_.versions, clock_.WallNow())) {
    RecordPlannedChanges(tables_.audit, clock_, *before, *changed);
    hooks_.version_in_force(*changed);
  }
  const TimePoint now = clock_.Now();
  PropagationInputs inputs;
  inputs.now = now;
  inputs.connected = peers_.ConnectedPeers();
  inputs.spare = std::move(spare);
  inputs.addresses_unchanged = EntryAddressesAge(tables_.accounts, now);
  inputs.random = random;
  PerformActions(TickPropagation(tables_.versions, tables_.membership, inputs),
                 random);
}

void PropagationRunner::HandleMessage(const InstanceId& from,
                                      const PeerMessage& message) {
  if (const auto* document = std::get_if<DocumentText>(&message))
    return HandleDocument(from, *document);
  PerformActions(HandlePropagationMessage(tables_.versions, tables_.membership,
                                          from, message, clock_.Now()),
                 0);
}

void PropagationRunner::HandleConnected(const InstanceId& peer) {
  ForgetTiming(tables_.membership, peer);
}

void PropagationRunner::PerformActions(const PropagationActions& actions,
                                       double random) {
  for (const OutgoingMessage& outgoing : actions.messages)
    peers_.Send(outgoing.to, outgoing.message);
  if (actions.start_poll)
    StartRead(ReadKind::kPoll, actions.known_version, random);
  if (actions.start_read)
    StartRead(ReadKind::kRead, actions.known_version, random);
  if (actions.read_list)
    list_source_.Read(
        [this](const std::optional<InstanceList>& list) { HandleList(list); });
  if (actions.list_changed)
    hooks_.peers_selected(PeersToConnect(tables_.membership));
  if (actions.entered_service)
    hooks_.entered_service();
}

void PropagationRunner::StartRead(ReadKind kind,
                                  uint64_t known_version,
                                  double random) {
  FinishedRead read;
  read.kind = kind;
  read.started = clock_.Now();
  read.known_version = known_version;
  const std::chrono::seconds wait =
      kind == ReadKind::kPoll ? kLongPollWait : std::chrono::seconds(0);
  document_source_.Read(known_version, wait,
                        [this, read, random](const DocumentAnswer& answer) {
                          HandleAnswer(read, answer, random);
                        });
}

void PropagationRunner::HandleAnswer(FinishedRead read,
                                     const DocumentAnswer& answer,
                                     double random) {
  read.answered = answer.kind != DocumentAnswer::Kind::kUnavailable;
  read.not_modified = answer.kind == DocumentAnswer::Kind::kNotModified;
  if (answer.kind == DocumentAnswer::Kind::kDocument) {
    read.service_version = answer.version;
    read.service_digest = Sha256Hex(answer.text);
    ConsiderServiceDocument(answer.text,
                            {read.service_version, read.service_digest});
  }
  FinishDocumentRead(tables_.versions, tables_.membership, read, clock_.Now(),
                     random);
}

void PropagationRunner::ConsiderServiceDocument(
    const std::string& text,
    const RejectedDocument& identity) {
  if (IsRejected(tables_.versions, identity.version, identity.digest))
    return;
  try {
    const VersionPtr candidate = DecodeVersion(text);
    const VersionPtr before = VersionInForce(tables_.versions);
    ReportOutcome(
        AdoptVersionIfNewer(tables_.versions, candidate, clock_.WallNow()),
        before, *candidate, InstanceId());
  } catch (const DocumentError& error) {
    AddRejectedDocument(tables_.versions, identity);
    RecordRejected(identity, InstanceId(), error.what());
  }
}

void PropagationRunner::HandleDocument(const InstanceId& from,
                                       const DocumentText& document) {
  const RejectedDocument identity{document.version, document.digest};
  if (Sha256Hex(document.text) != document.digest) {
    RejectPeerDocument(tables_.versions, from, std::nullopt);
    return RecordRejected(
        identity, from,
        "the digest of the text differs from the stated digest");
  }
  try {
    const VersionPtr candidate = DecodeVersion(document.text);
    if (candidate->document.version != document.version)
      throw DocumentError("the text states version " +
                          std::to_string(candidate->document.version));
    const VersionPtr before = VersionInForce(tables_.versions);
    ReportOutcome(
        AcceptPeerDocument(tables_.versions, from, candidate, clock_.WallNow()),
        before, *candidate, from);
  } catch (const DocumentError& error) {
    RejectPeerDocument(tables_.versions, from, identity);
    RecordRejected(identity, from, error.what());
  }
}

void PropagationRunner::HandleList(const std::optional<InstanceList>& list) {
  FinishListRead(tables_.membership);
  if (list && AdoptList(tables_.membership, *list))
    hooks_.peers_selected(PeersToConnect(tables_.membership));
}

// Records nothing if the candidate is the version that is already in force, or
// an older one.
void PropagationRunner::ReportOutcome(ApplyOutcome outcome,
                                      const VersionPtr& before,
                                      const Version& candidate,
                                      const InstanceId& source) {
  const RejectedDocument identity{candidate.document.version, candidate.digest};
  if (outcome == ApplyOutcome::kConflict)
    return RecordRejected(
        identity, source,
        "the version in force has the same number but another digest");
  if (outcome != ApplyOutcome::kInForce)
    return;
  const VersionPtr in_force = VersionInForce(tables_.versions);
  RecordInForce(tables_.audit, clock_, before.get(), *in_force, source);
  hooks_.version_in_force(*in_force);
}

void PropagationRunner::RecordRejected(const RejectedDocument& document,
                                       const InstanceId& source,
                                       const std::string& reason) {
  RecordRejection(tables_.audit, clock_, document, source, reason);
}

}  // namespace mangodoor
