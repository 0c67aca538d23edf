#include "platform_fleet/template.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;

const Json* FindField(const Json& fields, const std::string& name) {
  const Json* found = &fields;
  size_t begin = 0;
  while (begin <= name.size()) {
    const size_t dot = std::min(name.find('.', begin), name.size());
    const std::string part = name.substr(begin, dot - begin);
    if (found->is_array()) {
      const size_t index = std::stoul(part);
      if (index >= found->size())
        return nullptr;
      found = &(*found)[index];
    } else {
      if (!found->is_object() || !found->contains(part))
        return nullptr;
      found = &(*found)[part];
    }
    begin = dot + 1;
  }
  return found;
}

std::string ToText(const Json* value, bool as_json) {
  if (!value)
    return "";
  return value->is_string() && !as_json ? value->get<std::string>()
                                        : value->dump();
}

}  // namespace

Json SampleBounds() {
  return {{"QuotaWindowS", 5},  {"QuotaOverage", 0.25}, {"QuotaSlack", 20},
          {"BudgetRatio", 0.2}, {"BudgetWindowS", 10},  {"BudgetSlack", 58},
          {"GraceS", 6},        {"ProbesPerS", 60},     {"RevokeMs", 5000},
          {"FailClosed", false}};
}

std::string RenderTemplate(const std::string& text, const Json& fields) {
  constexpr char kJson[] = "|json";
  std::string result;
  size_t position = 0;
  for (;;) {
    const size_t open = text.find("{{", position);
    if (open == std::string::npos)
      return result + text.substr(position);
    const size_t close = text.find("}}", open);
    result += text.substr(position, open - position);
    std::string name = text.substr(open + 2, close - open - 2);
    const size_t json = name.find(kJson);
    const bool as_json = json != std::string::npos;
    name = name.substr(0, json);
    result += ToText(FindField(fields, name), as_json);
    position = close + 2;
  }
}

}  // namespace mangodoor
