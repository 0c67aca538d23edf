#ifndef VERSION_IDS_H_
#define VERSION_IDS_H_

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace mangodoor {

/**
 * An id. Each kind of id has its own type, so that the compiler rejects, for
 * example, a backend server's id in place of a data centre's.
 */
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const StrongId& a, const StrongId& b) {
    return !(a == b);
  }
  friend bool operator<(const StrongId& a, const StrongId& b) {
    return a.value_ < b.value_;
  }
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

using ServiceId = StrongId<struct ServiceTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using BackendServerId = StrongId<struct BackendServerTag>;
using ClientAccountId = StrongId<struct ClientAccountTag>;
using InstanceId = StrongId<struct InstanceTag>;

}  // namespace mangodoor

template <typename Tag>
struct std::hash<mangodoor::StrongId<Tag>> {
  size_t operator()(const mangodoor::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // VERSION_IDS_H_
