#include "coordination/store_era/store_era.h"

namespace wagtailshore::store_era {

bool StoreEra::Accept(std::optional<uint64_t> era) {
  if (!era.has_value() || era == current_) {
    return true;
  }
  if (!current_.has_value()) {
    current_ = era;
    return true;
  }
  if (*era > *current_) {
    current_ = era;
    for (const auto& restored : restored_) {
      restored();
    }
  }
  return false;
}

}  // namespace wagtailshore::store_era
