#include "state/expert_demand/expert_demand.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace wagtailshore::expert_demand {
namespace {

double TotalOf(const placement::Loads& loads) {
  return std::accumulate(loads.begin(), loads.end(), 0.0);
}

double TotalOf(const std::vector<placement::Loads>& layers) {
  return std::accumulate(layers.begin(), layers.end(), 0.0,
                         [](double sum, const placement::Loads& loads) {
                           return sum + TotalOf(loads);
                         });
}

}  // namespace

std::vector<uint64_t> ChoiceCounter::Update(
    const std::vector<uint64_t>& counters) {
  std::vector<uint64_t> choices(counters.size());
  bool comparable = last_.size() == counters.size();
  for (size_t i = 0; comparable && i < counters.size(); ++i) {
    // A counter that decreased was reset by a restart.
    comparable = counters[i] >= last_[i];
    choices[i] = comparable ? counters[i] - last_[i] : 0;
  }
  if (!comparable) {
    choices.assign(counters.size(), 0);
  }
  last_ = counters;
  return choices;
}

ExpertDemand::ExpertDemand(const ExpertDemandOptions& options)
    : options_(options),
      loads_(options.layers, placement::Loads(options.experts)),
      round_(loads_) {}

void ExpertDemand::OnChoices(const std::vector<uint64_t>& choices) {
  const auto experts = static_cast<size_t>(options_.experts);
  if (choices.size() != round_.size() * experts) {
    return;
  }
  for (size_t i = 0; i < choices.size(); ++i) {
    round_[i / experts][i % experts] += static_cast<double>(choices[i]);
  }
}

bool ExpertDemand::CloseRound(common::Time now) {
  if (TotalOf(round_) < options_.min_choices_per_expert * options_.experts *
                            static_cast<double>(round_.size())) {
    return false;
  }
  const bool shifted =
      !shifting_ && MovedShare(loads_, round_) > options_.shift_share;
  const double remaining =
      std::exp2(-std::chrono::duration<double>(now - closed_at_) /
                std::chrono::duration<double>(options_.half_life));
  for (size_t layer = 0; layer < loads_.size(); ++layer) {
    for (size_t expert = 0; expert < loads_[layer].size(); ++expert) {
      double& load = loads_[layer][expert];
      load = shifted ? 0 : load * remaining + round_[layer][expert];
      round_[layer][expert] = 0;
    }
  }
  closed_at_ = now;
  shifting_ = shifted;
  return shifted;
}

void ExpertDemand::Reset() {
  for (auto* layers : {&loads_, &round_}) {
    for (placement::Loads& loads : *layers) {
      std::fill(loads.begin(), loads.end(), 0);
    }
  }
  shifting_ = false;
}

double ExpertDemand::total() const {
  return TotalOf(loads_);
}

double MovedShare(const std::vector<placement::Loads>& one,
                  const std::vector<placement::Loads>& other) {
  double sum = 0;
  for (size_t layer = 0; layer < one.size(); ++layer) {
    const double one_total = TotalOf(one[layer]);
    const double other_total = TotalOf(other[layer]);
    if (one_total <= 0 || other_total <= 0) {
      return 0;
    }
    double moved = 0;
    double by_chance = 0;
    for (size_t expert = 0; expert < one[layer].size(); ++expert) {
      const double share = (one[layer][expert] + other[layer][expert]) /
                           (one_total + other_total);
      moved += std::abs(one[layer][expert] / one_total -
                        other[layer][expert] / other_total);
      // Expected absolute difference of two samples of a share, by the normal
      // approximation.
      by_chance += std::sqrt(2 / std::numbers::pi * share *
                             (1 / one_total + 1 / other_total));
    }
    // Halved, as each moved choice is counted at the expert that lost it and at
    // the one that gained it.
    sum += std::max(0.0, moved - by_chance) / 2;
  }
  return one.empty() ? 0 : sum / static_cast<double>(one.size());
}

}  // namespace wagtailshore::expert_demand
