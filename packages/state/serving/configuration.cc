#include "state/serving/configuration.h"

namespace wagtailshore::serving {

bool MayRepeat(const Route& route) {
  switch (route.kind) {
    case RequestKind::kIdempotent:
      return true;
    case RequestKind::kAtMostOnce:
      return false;
    case RequestKind::kStream:
      return route.resumable;
  }
  return false;
}

}  // namespace wagtailshore::serving
