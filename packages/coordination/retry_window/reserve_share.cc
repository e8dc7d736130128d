#include "coordination/retry_window/reserve_share.h"

namespace wagtailshore::retry_window {

void ReserveShare::OnCounted(size_t processes, common::Time requested_at) {
  processes_ = processes;
  counted_at_ = requested_at;
}

double ReserveShare::At(common::Time now) const {
  const bool known_to_all = registered_at_.has_value() &&
                            now >= *registered_at_ + 2 * options_.window;
  if (!known_to_all || processes_ == 0 || now > counted_at_ + options_.window) {
    return 0;
  }
  return options_.reserve / static_cast<double>(processes_);
}

}  // namespace wagtailshore::retry_window
