#include "request/http_profile.h"

namespace mangodoor {

const CallNames& OwnCallNames() {
  static const CallNames names;
  return names;
}

}  // namespace mangodoor
