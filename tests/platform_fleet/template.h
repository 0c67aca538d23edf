#ifndef TESTS_PLATFORM_FLEET_TEMPLATE_H_
#define TESTS_PLATFORM_FLEET_TEMPLATE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace mangodoor {

/** The bounds that the platform fills in, as in the deployments of users. */
nlohmann::json SampleBounds();

/**
 * Fills in placeholders as the platform does: {{a.b}}, {{a.0}} and {{a|json}}.
 * A placeholder whose field is missing becomes an empty string.
 */
std::string RenderTemplate(const std::string& text,
                           const nlohmann::json& fields);

}  // namespace mangodoor

#endif  // TESTS_PLATFORM_FLEET_TEMPLATE_H_
