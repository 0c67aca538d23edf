#ifndef VERSION_DOCUMENT_NAMES_H_
#define VERSION_DOCUMENT_NAMES_H_

#include <optional>
#include <string>

#include "version/document.h"

namespace mangodoor {

/** The name of a kind of planned change in documents, and the reverse. */
const char* Name(ChangeKind kind);
std::optional<ChangeKind> ParseChangeKind(const std::string& name);

/** The name of a server's mode in documents, and the reverse. */
const char* Name(ServerMode mode);
std::optional<ServerMode> ParseServerMode(const std::string& name);

/** The name of a limit policy in documents, and the reverse. */
const char* Name(LimitPolicy policy);
std::optional<LimitPolicy> ParseLimitPolicy(const std::string& name);

/** Text for descriptions of changes: "by method", "always" or "never". */
const char* Name(RetryRule rule);

/** The first digits of a key's digest, enough to distinguish keys. */
std::string ShortDigest(const std::string& digest);

}  // namespace mangodoor

#endif  // VERSION_DOCUMENT_NAMES_H_
