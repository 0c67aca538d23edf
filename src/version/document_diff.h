#ifndef VERSION_DOCUMENT_DIFF_H_
#define VERSION_DOCUMENT_DIFF_H_

#include <string>
#include <vector>

#include "version/document.h"

namespace mangodoor {

/**
 * Describes the differences between two documents, one line each. The version
 * and the order of lists are ignored. Not compared: the limit policy and the
 * caller limits; a service's discovery, health path, connection limit, cold
 * time and cold rate; a client account's priority and whether it is limited.
 */
std::vector<std::string> DescribeChanges(const Document& before,
                                         const Document& after);

/** One line with the version and the number of entries of each kind. */
std::string Summarise(const Document& document);

}  // namespace mangodoor

#endif  // VERSION_DOCUMENT_DIFF_H_
