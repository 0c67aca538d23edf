#ifndef VERSION_DOCUMENT_NAMES_H_
#define VERSION_DOCUMENT_NAMES_H_

#include <optional>
#include <string>

#include "version/document.h"

namespace mangodoor {

/** The name of a kind of planned change in a document. */
const char* Name(ChangeKind kind);
std::optional<ChangeKind> ChangeKindNamed(const std::string& name);

/** The name of a server's mode in a document. */
const char* Name(ServerMode mode);
std::optional<ServerMode> ServerModeNamed(const std::string& name);

/** The name of a limit policy in a document. */
const char* Name(LimitPolicy policy);
std::optional<LimitPolicy> LimitPolicyNamed(const std::string& name);

/** "by method", "always" or "never". */
const char* Name(RetryRule rule);

/** The first digits of a key's digest, enough to tell keys apart. */
std::string ShortDigest(const std::string& digest);

}  // namespace mangodoor

#endif  // VERSION_DOCUMENT_NAMES_H_
