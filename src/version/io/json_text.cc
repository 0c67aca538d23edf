#include "version/io/json_text.h"

#include <set>
#include <stdexcept>

namespace mangodoor {
namespace {

using Json = nlohmann::json;

// Documents and settings need 6 levels of nesting. The limit bounds the memory
// that a text with hostile nesting can use.
constexpr int kMaxDepth = 16;

constexpr size_t kMaxPointerTokenLength = 64;

class NestingError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An object or array whose end the parser has not reached yet.
struct OpenContainer {
  bool is_array = false;
  // For an array: index of the next element.
  size_t next_index = 0;
  // For an object: the field that was read last, and all fields read so far.
  std::string field;
  std::set<std::string> fields;
};

std::string PathTo(const std::vector<OpenContainer>& open_containers) {
  std::string path;
  for (const OpenContainer& value : open_containers) {
    path += '/';
    path += value.is_array ? std::to_string(value.next_index)
                           : EscapePointerToken(value.field);
  }
  return path;
}

// Callback of the parser that finds duplicate fields and excessive nesting. The
// parser itself silently keeps the last of several fields with the same name.
struct ParseObserver {
  std::vector<Fault>& faults;
  std::vector<OpenContainer> open_containers;

  bool operator()(int depth, Json::parse_event_t event, const Json& parsed) {
    switch (event) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        BeginContainer(depth, event == Json::parse_event_t::array_start);
        break;
      case Json::parse_event_t::key:
        AddField(parsed.get<std::string>());
        break;
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        open_containers.pop_back();
        EndElement();
        break;
      case Json::parse_event_t::value:
        EndElement();
        break;
    }
    return true;
  }

  void BeginContainer(int depth, bool is_array) {
    if (depth >= kMaxDepth)
      throw NestingError(PathTo(open_containers));
    open_containers.push_back({is_array, 0, "", {}});
  }

  void AddField(std::string name) {
    OpenContainer& object = open_containers.back();
    object.field = name;
    if (!object.fields.insert(std::move(name)).second)
      faults.push_back(
          {PathTo(open_containers), "a field given twice", "one value"});
  }

  void EndElement() {
    if (!open_containers.empty() && open_containers.back().is_array)
      ++open_containers.back().next_index;
  }
};

// Removes the JSON text that an error message of the parser quotes, as it may
// be part of a secret.
std::string RemoveQuotedText(std::string message) {
  const size_t begin = message.find("; last read: '");
  const size_t end = message.rfind('\'');
  if (begin != std::string::npos && end > begin)
    message.erase(begin, end + 1 - begin);
  const size_t unexpected = message.find("unexpected ");
  const size_t dash = message.find(" - ");
  if (unexpected != std::string::npos)
    return message.substr(unexpected);
  return dash == std::string::npos ? "not JSON" : message.substr(dash + 3);
}

std::string LineAndColumn(const std::string& text, size_t byte) {
  // `byte` is the number of bytes read, so the last one has index byte - 1.
  const size_t end = std::min(byte == 0 ? 0 : byte - 1, text.size());
  size_t line = 1;
  size_t line_start = 0;
  for (size_t i = 0; i < end; ++i) {
    if (text[i] == '\n') {
      ++line;
      line_start = i + 1;
    }
  }
  return "line " + std::to_string(line) + ", column " +
         std::to_string(end - line_start + 1);
}

/**
 * True if objects and lists are nested at most `max_depth` levels deep. Looks
 * at brackets only; whether the text is valid JSON is not checked.
 */
bool IsNestedAtMost(const std::string& text, size_t max_depth) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      in_string = !in_string;
    } else if (in_string) {
      // Skips the character that a backslash escapes.
      i += c == '\\' ? 1 : 0;
    } else if (c == '[' || c == '{') {
      if (++depth > max_depth)
        return false;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return true;
}

}  // namespace

std::optional<Json> ParseJsonText(const std::string& text,
                                  std::vector<Fault>& faults) {
  ParseObserver observer{faults, {}};
  try {
    return Json::parse(text, std::ref(observer), true, true);
  } catch (const Json::parse_error& error) {
    faults.push_back({LineAndColumn(text, error.byte),
                      RemoveQuotedText(error.what()), "JSON with comments"});
  } catch (const Json::out_of_range&) {
    faults.push_back({PathTo(observer.open_containers),
                      "a number that is too large", "numbers up to 1.7e308"});
  } catch (const NestingError& error) {
    faults.push_back({error.what(), "nested too deeply",
                      "at most " + std::to_string(kMaxDepth) + " levels"});
  }
  return std::nullopt;
}

// The nesting is checked before the parser builds a value, because a value is
// also large: a text of brackets takes tens of times its own size.
std::optional<Json> ParseUntrustedJson(const std::string& text) {
  if (!IsNestedAtMost(text, kMaxUntrustedDepth))
    return std::nullopt;
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded())
    return std::nullopt;
  return json;
}

std::string DescribeUntrustedJson(const Json& json) {
  if (json.is_object())
    return "an object";
  if (json.is_array())
    return "a list";
  return Quoted(json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::string EscapePointerToken(const std::string& name) {
  std::string token;
  for (const char c : name.substr(0, kMaxPointerTokenLength)) {
    if (c == '~')
      token += "~0";
    else if (c == '/')
      token += "~1";
    else
      token += c < ' ' || c > '~' ? '?' : c;
  }
  return token;
}

}  // namespace mangodoor
