#include "coordination/dissemination/relay_rank.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

#include "absl/strings/numbers.h"
#include "common/digest.h"
#include "common/strings.h"

namespace wagtailshore::dissemination {
namespace {

// Hexadecimal digits in a weight.
constexpr size_t kWeightDigits = 16;
// At this size the cache is cleared, because instances are continually
// replaced.
constexpr size_t kMaxCachedWeights = 10000;

}  // namespace

std::vector<std::string> RelayRank::Top(const std::string& failure_domain,
                                        std::vector<std::string> addresses,
                                        size_t count) {
  count = std::min(count, addresses.size());
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(addresses.size());
  for (std::string& address : addresses) {
    const uint64_t weight = Weight(failure_domain, address);
    weighted.emplace_back(weight, std::move(address));
  }
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<ptrdiff_t>(count),
                    weighted.end(), std::greater<>());
  std::vector<std::string> top;
  for (size_t i = 0; i < count; ++i) {
    top.push_back(std::move(weighted[i].second));
  }
  return top;
}

uint64_t RelayRank::Weight(const std::string& failure_domain,
                           const std::string& address) {
  const std::string key = common::StrCat(failure_domain, "/", address);
  const auto found = weights_.find(key);
  if (found != weights_.end()) {
    return found->second;
  }
  if (weights_.size() >= kMaxCachedWeights) {
    weights_.clear();
  }
  uint64_t weight = 0;
  (void)absl::SimpleHexAtoi(common::Sha256Hex(key).substr(0, kWeightDigits),
                            &weight);
  weights_.emplace(key, weight);
  return weight;
}

}  // namespace wagtailshore::dissemination
