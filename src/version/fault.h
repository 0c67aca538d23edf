#ifndef VERSION_FAULT_H_
#define VERSION_FAULT_H_

#include <string>
#include <vector>

namespace mangodoor {

/** One thing that is wrong with a document or with settings. */
struct Fault {
  /** A JSON pointer, or "line 3, column 5"; "" is the whole text. */
  std::string where;
  /** As far as it may be shown; empty if there is none. */
  std::string seen;
  std::string allowed;
};

/** "/version: 0; allowed: an integer from 1 to 10". */
std::string ToString(const Fault& fault);

/** One line for each fault. */
std::string ToString(const std::vector<Fault>& faults);

/** Text for a fault: in quotes, printable, shortened to 64 characters. */
std::string Quoted(const std::string& text);

/** Names the length only, for text that may be a secret. */
std::string Redacted(const std::string& text);

}  // namespace mangodoor

#endif  // VERSION_FAULT_H_
