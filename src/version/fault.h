#ifndef VERSION_FAULT_H_
#define VERSION_FAULT_H_

#include <string>
#include <vector>

namespace mangodoor {

/** A fault in a document or in settings. */
struct Fault {
  /** A JSON pointer, or "line 3, column 5"; empty for the whole text. */
  std::string where;
  /** What was found, without secrets; may be empty. */
  std::string seen;
  /** What is allowed there. */
  std::string allowed;
};

/** For example "/version: 0; allowed: an integer from 1 to 10". */
std::string ToString(const Fault& fault);

/** One line for each fault. */
std::string ToString(const std::vector<Fault>& faults);

/**
 * Quotes text for a fault: at most 64 characters, with '?' for those that are
 * not printable.
 */
std::string Quoted(const std::string& text);

/** Describes text that may be a secret by its length only. */
std::string Redacted(const std::string& text);

}  // namespace mangodoor

#endif  // VERSION_FAULT_H_
