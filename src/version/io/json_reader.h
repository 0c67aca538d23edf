#ifndef VERSION_IO_JSON_READER_H_
#define VERSION_IO_JSON_READER_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "version/document_limits.h"
#include "version/endpoint.h"
#include "version/fault.h"
#include "version/ids.h"

namespace mangodoor {

/** Reads a JSON object field by field and collects the faults. */
struct ObjectReader {
  /** Null if the value is not an object; no field is read then. */
  const nlohmann::json* json = nullptr;
  std::string path;
  std::vector<Fault>& faults;
  /** Fields read so far; RejectUnknownFields reports all others. */
  std::vector<std::string> known;
};

enum class Presence { kRequired, kOptional };

/** Whether the value of a text field may be shown in a fault. */
enum class Secrecy { kOpen, kSecret };

ObjectReader OpenObject(const nlohmann::json& json,
                        std::string path,
                        std::vector<Fault>& faults);

/**
 * Adds a fault for each field that was not read. Must be called after the last
 * field has been read.
 */
void RejectUnknownFields(ObjectReader& object);

// The functions below leave `value` unchanged if the field is absent or
// invalid. Exceptions: ReadId sets it to an empty id in both cases,
// ReadEndpoint to an empty endpoint if the field is invalid.

void ReadText(ObjectReader& object,
              const char* field,
              Presence presence,
              std::string& value,
              Secrecy secrecy = Secrecy::kOpen);
void ReadFlag(ObjectReader& object, const char* field, bool& value);
void ReadEndpoint(ObjectReader& object,
                  const char* field,
                  Presence presence,
                  Endpoint& value);
void ReadInteger(ObjectReader& object,
                 const char* field,
                 Presence presence,
                 const Range<int64_t>& range,
                 int64_t& value);
void ReadInteger(ObjectReader& object,
                 const char* field,
                 Presence presence,
                 const Range<int64_t>& range,
                 int& value);
void ReadNumber(ObjectReader& object,
                const char* field,
                Presence presence,
                const Range<double>& range,
                double& value);
void ReadMilliseconds(ObjectReader& object,
                      const char* field,
                      const Range<int64_t>& range,
                      std::chrono::milliseconds& value);

template <typename Tag>
void ReadId(ObjectReader& object, const char* field, StrongId<Tag>& value) {
  std::string text;
  ReadText(object, field, Presence::kRequired, text);
  value = StrongId<Tag>(text);
}

/** The list, or null if it is absent or invalid. */
const nlohmann::json* ReadList(ObjectReader& object,
                               const char* field,
                               Presence presence);

/** Decodes an endpoint, for example one of a list; empty if invalid. */
Endpoint DecodeEndpoint(const nlohmann::json& json,
                        const std::string& path,
                        std::vector<Fault>& faults);

}  // namespace mangodoor

#endif  // VERSION_IO_JSON_READER_H_
