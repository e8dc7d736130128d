#include "coordination/endpoint_limits/endpoint_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "common/digest.h"

namespace wagtailshore::endpoint_limits {
namespace {

// Limits that differ by less, relatively, count as the same.
constexpr double kSameLimit = 0.01;

double SecondsOf(common::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// A number that all gateways derive from the endpoint's name.
uint32_t OffsetOf(const std::string& endpoint) {
  constexpr size_t kDigits = 8;
  constexpr int kHexadecimal = 16;
  return static_cast<uint32_t>(std::stoul(
      common::Sha256Hex(endpoint).substr(0, kDigits), nullptr, kHexadecimal));
}

}  // namespace

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
  if (found != limits_.end()) {
    Limit& known = found->second;
    known.named_at = now;
    if (std::abs(*requests_per_second - known.requests_per_second) <=
        kSameLimit * known.requests_per_second) {
      return false;
    }
  }
  limits_[endpoint] = {.requests_per_second = *requests_per_second,
                       .named_at = now,
                       .valid_from = now,
                       .offset = OffsetOf(endpoint)};
  return true;
}

double EndpointLimits::RateOf(const Limit& limit) const {
  return std::max(limit.requests_per_second, options_.min_per_second);
}

int64_t EndpointLimits::NumberAt(const Limit& limit,
                                 const Share& share,
                                 common::Time at) const {
  const double phase =
      limit.offset / static_cast<double>(std::numeric_limits<uint32_t>::max());
  return static_cast<int64_t>(
      std::floor(RateOf(limit) * SecondsOf(at - share.epoch) + phase));
}

int64_t EndpointLimits::FirstPermit(const Limit& limit,
                                    const Share& share,
                                    common::Time now) const {
  const common::Time oldest = std::max(limit.valid_from, now - options_.carry);
  int64_t number = NumberAt(limit, share, oldest) + 1;
  // After the common clock was set back, used numbers may lie ahead.
  if (limit.last_used <= NumberAt(limit, share, now)) {
    number = std::max(number, limit.last_used + 1);
  }
  const auto gateways = static_cast<int64_t>(share.gateways);
  const auto index = static_cast<int64_t>(share.index);
  const int64_t turn = (number + limit.offset) % gateways;
  return number + (index - turn + gateways) % gateways;
}

std::set<std::string> EndpointLimits::Exhausted(
    const std::optional<Share>& share,
    common::Time now) const {
  std::set<std::string> exhausted;
  for (const auto& [endpoint, limit] : limits_) {
    if (!share.has_value() ||
        FirstPermit(limit, *share, now) > NumberAt(limit, *share, now)) {
      exhausted.insert(endpoint);
    }
  }
  return exhausted;
}

std::set<std::string> EndpointLimits::Overdue(const std::optional<Share>& share,
                                              common::Time now) const {
  std::set<std::string> overdue;
  for (const auto& [endpoint, limit] : limits_) {
    if (share.has_value() &&
        FirstPermit(limit, *share, now) <=
            NumberAt(limit, *share, now - options_.overdue_age)) {
      overdue.insert(endpoint);
    }
  }
  return overdue;
}

void EndpointLimits::OnSent(const std::string& endpoint,
                            const std::optional<Share>& share,
                            common::Time now) {
  const auto found = limits_.find(endpoint);
  if (found != limits_.end() && share.has_value()) {
    found->second.last_used = FirstPermit(found->second, *share, now);
  }
}

std::optional<common::Duration> EndpointLimits::TimeToPermit(
    const std::string& endpoint,
    const std::optional<Share>& share,
    common::Time now) const {
  const auto found = limits_.find(endpoint);
  if (found == limits_.end()) {
    return common::Duration::zero();
  }
  if (!share.has_value()) {
    return std::nullopt;
  }
  const Limit& limit = found->second;
  const int64_t ahead =
      FirstPermit(limit, *share, now) - NumberAt(limit, *share, now);
  return std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(
          static_cast<double>(std::max<int64_t>(0, ahead)) / RateOf(limit)));
}

}  // namespace wagtailshore::endpoint_limits
