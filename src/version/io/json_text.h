#ifndef VERSION_IO_JSON_TEXT_H_
#define VERSION_IO_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "version/fault.h"

namespace mangodoor {

/**
 * Parses JSON with comments. Adds faults for a syntax error, duplicate fields
 * and excessive nesting; no value if the text cannot be parsed. These faults
 * never quote values, which may be secrets.
 */
std::optional<nlohmann::json> ParseJsonText(const std::string& text,
                                            std::vector<Fault>& faults);

/**
 * Converts a field name to a reference token of a JSON pointer: escapes '~' and
 * '/', replaces characters that are not printable, and shortens long names.
 */
std::string EscapePointerToken(const std::string& name);

}  // namespace mangodoor

#endif  // VERSION_IO_JSON_TEXT_H_
