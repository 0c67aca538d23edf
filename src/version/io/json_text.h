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
 * Deepest nesting of JSON that an outside system, such as a store or a server,
 * may send. nlohmann-json copies, compares and prints values by recursion, so
 * deeper ones could overflow the stack.
 */
constexpr size_t kMaxUntrustedDepth = 32;

/**
 * Parses JSON from an outside system. No value if the text is not valid JSON or
 * is nested more deeply than kMaxUntrustedDepth. Never throws.
 */
std::optional<nlohmann::json> ParseUntrustedJson(const std::string& text);

/**
 * Describes a value for a fault, without its contents if it is an object or a
 * list, and shortened if it is a long text.
 */
std::string DescribeUntrustedJson(const nlohmann::json& json);

/**
 * Converts a field name to a reference token of a JSON pointer: escapes '~' and
 * '/', replaces characters that are not printable, and shortens long names.
 */
std::string EscapePointerToken(const std::string& name);

}  // namespace mangodoor

#endif  // VERSION_IO_JSON_TEXT_H_
