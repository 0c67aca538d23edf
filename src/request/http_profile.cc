#include "request/http_profile.h"

namespace mangodoor {

const HttpProfile& DefaultHttpProfile() {
  static const HttpProfile http_profile;
  return http_profile;
}

}  // namespace mangodoor
