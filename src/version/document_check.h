#ifndef VERSION_DOCUMENT_CHECK_H_
#define VERSION_DOCUMENT_CHECK_H_

#include <vector>

#include "version/document.h"
#include "version/fault.h"

namespace mangodoor {

/**
 * Checks ranges, duplicates, references and planned changes. Returns all
 * faults; a document without faults can come into force.
 */
std::vector<Fault> CheckDocument(const Document& document);

}  // namespace mangodoor

#endif  // VERSION_DOCUMENT_CHECK_H_
