#include "connection/io/peer_handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

#include "process/peers/io/peer_codec.h"

namespace mangodoor {
namespace {

// Each field is prefixed with its length. Otherwise "ab" + "c" and "a" + "bc"
// would have the same proof.
void Append(std::string& input, const std::string& field) {
  input += std::to_string(field.size());
  input += ':';
  input += field;
}

void Append(std::string& input, const Hello& hello) {
  Append(input, hello.instance.value());
  Append(input, hello.data_centre.value());
  Append(input, hello.nonce);
}

std::string MakeNonce() {
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1)
    throw std::runtime_error("cannot generate a nonce: no random bytes");
  return nonce;
}

PeerRole OppositeRole(PeerRole role) {
  return role == PeerRole::kDialler ? PeerRole::kListener : PeerRole::kDialler;
}

bool EqualsInConstantTime(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<Proof> AcceptHello(PeerHandshake& handshake,
                                 const Hello& hello,
                                 const std::string& fleet_secret) {
  if (handshake.peer)
    throw PeerMessageError("second hello");
  if (hello.nonce.size() != kNonceBytes || hello.nonce == handshake.own.nonce)
    throw PeerMessageError("nonce of a wrong length, or this instance's own");
  if (hello.instance == handshake.own.instance)
    throw PeerMessageError("the peer uses the id of this instance");
  handshake.peer = hello;
  return Proof{ProofMac(fleet_secret, handshake.role, handshake.own, hello)};
}

}  // namespace

PeerHandshake StartHandshake(PeerRole role, const Instance& self) {
  PeerHandshake handshake;
  handshake.role = role;
  handshake.own = {self.id, self.data_centre, MakeNonce(), true};
  return handshake;
}

std::optional<Proof> AdvanceHandshake(PeerHandshake& handshake,
                                      const PeerMessage& message,
                                      const std::string& fleet_secret) {
  if (const auto* hello = std::get_if<Hello>(&message))
    return AcceptHello(handshake, *hello, fleet_secret);
  const auto* proof = std::get_if<Proof>(&message);
  if (!proof || !handshake.peer)
    throw PeerMessageError("message before authentication");
  const std::string expected =
      ProofMac(fleet_secret, OppositeRole(handshake.role), *handshake.peer,
               handshake.own);
  if (!EqualsInConstantTime(proof->mac, expected))
    throw PeerMessageError("proof does not match the fleet secret");
  handshake.authenticated = true;
  return std::nullopt;
}

std::string ProofMac(const std::string& fleet_secret,
                     PeerRole role,
                     const Hello& sender,
                     const Hello& receiver) {
  std::string input = "mangodoor peer 1 ";
  input += role == PeerRole::kDialler ? "dialler " : "listener ";
  Append(input, sender);
  Append(input, receiver);
  std::string mac(EVP_MAX_MD_SIZE, '\0');
  unsigned int size = 0;
  if (!HMAC(EVP_sha256(), fleet_secret.data(),
            static_cast<int>(fleet_secret.size()),
            reinterpret_cast<const unsigned char*>(input.data()), input.size(),
            reinterpret_cast<unsigned char*>(mac.data()), &size))
    throw std::runtime_error("HMAC-SHA256 is not available");
  mac.resize(size);
  return mac;
}

}  // namespace mangodoor
