#include "request/call_names.h"

namespace mangodoor {

const CallNames& OwnCallNames() {
  static const CallNames names;
  return names;
}

}  // namespace mangodoor
