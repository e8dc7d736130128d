#include "coordination/endpoint_limits/endpoint_limits.h"

namespace wagtailshore::endpoint_limits {

bool EndpointLimits::OnAnswer(const std::string& endpoint,
                              std::optional<double> requests_per_second,
                              common::Time sent_at,
                              common::Time now) {
  const auto found = limits_.find(endpoint);
  if (!requests_per_second.has_value()) {
    // An answer to an earlier request may have been made before the limit.
    if (found == limits_.end() || sent_at < found->second.named_at) {
      return false;
    }
    limits_.erase(found);
    return true;
  }
  Limit& limit = limits_[endpoint];
  limit.named_at = now;
  const bool changed = limit.requests_per_second != *requests_per_second;
  limit.requests_per_second = *requests_per_second;
  return changed || found == limits_.end();
}

}  // namespace wagtailshore::endpoint_limits
