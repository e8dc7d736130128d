#include "state/placement/mix_memory.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wagtailshore::placement {
namespace {

// Returns each expert's share of the total load.
Loads SharesOf(const Loads& load) {
  const double sum = std::accumulate(load.begin(), load.end(), 0.0);
  Loads shares = load;
  for (double& share : shares) {
    share = sum > 0 ? share / sum : 0;
  }
  return shares;
}

double Distance(const Loads& a, const Loads& b) {
  double distance = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    distance += std::abs(a[i] - b[i]);
  }
  return distance;
}

}  // namespace

void MixMemory::Observe(const Loads& load, common::Time now) {
  load_ = load;
  const Loads shares = SharesOf(load);
  const auto nearest = std::min_element(
      mixes_.begin(), mixes_.end(), [&](const Mix& a, const Mix& b) {
        return Distance(a.shares, shares) < Distance(b.shares, shares);
      });
  if (nearest == mixes_.end() ||
      Distance(nearest->shares, shares) >= options_.same_mix_distance) {
    AddMix(shares, now);
    return;
  }
  const auto index = static_cast<size_t>(nearest - mixes_.begin());
  if (index != current_) {
    nearest->recurred = true;
    current_ = index;
  }
  nearest->last_seen = now;
}

void MixMemory::AddMix(const Loads& shares, common::Time now) {
  if (mixes_.size() == options_.max_mixes) {
    const auto oldest = std::min_element(
        mixes_.begin(), mixes_.end(),
        [](const Mix& a, const Mix& b) { return a.last_seen < b.last_seen; });
    mixes_.erase(oldest);
  }
  mixes_.push_back({.shares = shares, .last_seen = now});
  current_ = mixes_.size() - 1;
}

Scenarios MixMemory::Expected() const {
  Scenarios expected = {load_};
  if (mixes_.empty()) {
    return expected;
  }
  const common::Time now = mixes_[current_].last_seen;
  for (size_t i = 0; i < mixes_.size(); ++i) {
    if (i != current_ && mixes_[i].recurred &&
        now - mixes_[i].last_seen < options_.expiry) {
      expected.push_back(mixes_[i].shares);
    }
  }
  return expected;
}

}  // namespace wagtailshore::placement
