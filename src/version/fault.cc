#include "version/fault.h"

namespace mangodoor {
namespace {

constexpr size_t kMaxShownLength = 64;

}  // namespace

std::string ToString(const Fault& fault) {
  std::string line = fault.where.empty() ? "the whole text" : fault.where;
  if (!fault.seen.empty())
    line += ": " + fault.seen;
  return line + "; allowed: " + fault.allowed;
}

std::string ToString(const std::vector<Fault>& faults) {
  std::string text;
  for (const Fault& fault : faults) {
    if (!text.empty())
      text += '\n';
    text += ToString(fault);
  }
  return text;
}

std::string Quoted(const std::string& text) {
  std::string shown = "\"";
  for (const char c : text.substr(0, kMaxShownLength))
    shown += c < ' ' || c > '~' ? '?' : c;
  return shown + (text.size() > kMaxShownLength ? "\" and more" : "\"");
}

std::string Redacted(const std::string& text) {
  return "a text of " + std::to_string(text.size()) +
         " characters (not shown, it may be a secret)";
}

}  // namespace mangodoor
