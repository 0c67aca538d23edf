#ifndef CONNECTION_IO_PEER_HANDSHAKE_H_
#define CONNECTION_IO_PEER_HANDSHAKE_H_

#include <optional>
#include <string>

#include "process/peers/peer_message.h"

namespace mangodoor {

/** Whether an instance opened a peer connection or accepted it. */
enum class PeerRole { kDialler, kListener };

/** Length of a nonce and of a proof, in bytes. */
constexpr size_t kNonceBytes = 32;
constexpr size_t kProofBytes = 32;

/** State of the mutual authentication on one connection. */
struct PeerHandshake {
  PeerRole role = PeerRole::kDialler;
  Hello own;
  /** Set once the peer's hello has arrived. */
  std::optional<Hello> peer;
  bool authenticated = false;
};

/** Starts a handshake with a new nonce. The caller sends `own` to the peer. */
PeerHandshake StartHandshake(PeerRole role, const Instance& self);

/**
 * Handles a message that arrives before the peer is authenticated. Returns the
 * proof to send in reply to a hello, and no value for a valid proof. Throws
 * PeerMessageError if the message is not the expected one or the proof is
 * wrong.
 */
std::optional<Proof> AdvanceHandshake(PeerHandshake& handshake,
                                      const PeerMessage& message,
                                      const std::string& fleet_secret);

/**
 * The HMAC-SHA256 with which `sender`, in `role`, proves to `receiver` that it
 * has the fleet secret. The input contains the role, and the sender's hello
 * before the receiver's, so it differs between the two sides and a proof that
 * is sent back to its sender is rejected.
 */
std::string ProofMac(const std::string& fleet_secret,
                     PeerRole role,
                     const Hello& sender,
                     const Hello& receiver);

}  // namespace mangodoor

#endif  // CONNECTION_IO_PEER_HANDSHAKE_H_
