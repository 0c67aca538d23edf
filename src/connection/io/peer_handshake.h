#ifndef CONNECTION_IO_PEER_HANDSHAKE_H_
#define CONNECTION_IO_PEER_HANDSHAKE_H_

#include <optional>
#include <string>

#include "process/peers/peer_message.h"

namespace mangodoor {

/** Which side of a connection between instances one is. */
enum class PeerRole { kDialler, kListener };

/** Length of a nonce and of a proof, in bytes. */
constexpr size_t kNonceBytes = 32;
constexpr size_t kProofBytes = 32;

/** Mutual authentication on one connection. */
struct PeerHandshake {
  PeerRole role = PeerRole::kDialler;
  Hello own;
  /** Set once the peer's hello has come. */
  std::optional<Hello> peer;
  bool authenticated = false;
};

/** Starts a handshake with a fresh nonce; `own` is to be sent. */
PeerHandshake StartHandshake(PeerRole role, const Instance& self);

/**
 * Handles a message that comes before the peer is authenticated, and returns
 * the proof to send after its hello. Throws PeerMessageError if the message is
 * not the expected one, or the proof is wrong.
 */
std::optional<Proof> AdvanceHandshake(PeerHandshake& handshake,
                                      const PeerMessage& message,
                                      const std::string& fleet_secret);

/**
 * HMAC-SHA256 by `sender`, which has `role`, for `receiver`. Role and order of
 * the two hellos differ between the sides, so that a proof sent back to its
 * author proves nothing.
 */
std::string ProofMac(const std::string& fleet_secret,
                     PeerRole role,
                     const Hello& sender,
                     const Hello& receiver);

}  // namespace mangodoor

#endif  // CONNECTION_IO_PEER_HANDSHAKE_H_
