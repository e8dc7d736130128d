#include "state/placement/improver.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace wagtailshore::placement {
namespace {

// Smaller relative gains are rounding errors.
constexpr double kMinGain = 1e-6;

// Ranks considered as partners of the slowest one.
constexpr ptrdiff_t kMaxPartners = 24;

Loads Scaled(const Loads& loads, size_t ranks) {
  const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
  Loads scaled = loads;
  for (double& load : scaled) {
    load = sum > 0 ? load * static_cast<double>(ranks) / sum : 0;
  }
  return scaled;
}

}  // namespace

Improver::Improver(const ExpertMap& map, const Scenarios& scenarios)
    : Improver(map, scenarios, NewExpertLimit{.origin = map}) {}

Improver::Improver(const ExpertMap& map,
                   const Scenarios& scenarios,
                   const NewExpertLimit& limit)
    : map_(map),
      counts_(ReplicaCounts(map, scenarios.front().size())),
      perturbed_(counts_.size()),
      rank_loads_(map.ranks.size()),
      held_(map.ranks.size() * counts_.size()),
      holders_(counts_.size()),
      max_new_(limit.max_new),
      held_before_(held_.size()),
      new_counts_(map.ranks.size()) {
  for (const Loads& loads : scenarios) {
    loads_.push_back(Scaled(loads, map_.ranks.size()));
  }
  for (RankLoad& load : rank_loads_) {
    load.by_scenario.resize(loads_.size());
  }
  for (size_t rank = 0; rank < map_.ranks.size(); ++rank) {
    for (int expert : map_.ranks[rank]) {
      held_[rank * counts_.size() + expert] = true;
      holders_[expert].push_back(static_cast<int>(rank));
    }
  }
  for (size_t rank = 0; rank < limit.origin.ranks.size(); ++rank) {
    for (int expert : limit.origin.ranks[rank]) {
      held_before_[rank * counts_.size() + expert] = true;
    }
  }
  for (size_t i = 0; i < held_.size(); ++i) {
    new_counts_[i / counts_.size()] += held_[i] && !held_before_[i] ? 1 : 0;
  }
  for (int expert = 0; expert < std::ssize(counts_); ++expert) {
    AddShares(expert, 1);
  }
}

int Improver::Step() {
  const int hot_rank = SlowestRank();
  peak_ = rank_loads_[hot_rank].peak;
  ChoosePartners();
  std::optional<Change> best;
  ConsiderReplicas(hot_rank, best);
  ConsiderDrops(hot_rank, best);
  ConsiderSwaps(hot_rank, best);
  if (!best) {
    return 0;
  }
  Apply(*best);
  return best->moves;
}

int Improver::Perturb() {
  const int hot_rank = SlowestRank();
  const int expert = HeaviestExpert(hot_rank);
  std::optional<Change> best;
  for (int rank = 0; rank < std::ssize(map_.ranks); ++rank) {
    if (Holds(rank, expert)) {
      continue;
    }
    for (int slot = 0; slot < std::ssize(map_.ranks[rank]); ++slot) {
      if (!MayDrop(map_.ranks[rank][slot]) ||
          !CanReplace(rank, map_.ranks[rank][slot], expert)) {
        continue;
      }
      const double limit =
          best ? best->peak : std::numeric_limits<double>::infinity();
      const double peak = PeakAfterReplace(hot_rank, rank, slot, expert, limit);
      if (!best || peak < best->peak) {
        best = {.rank = rank, .slot = slot, .expert = expert, .peak = peak};
      }
    }
  }
  if (!best) {
    return 0;
  }
  Apply(*best);
  perturbed_[expert] = true;
  return best->moves;
}

double Improver::CurrentSlowest() const {
  double slowest = 0;
  for (const RankLoad& load : rank_loads_) {
    slowest = std::max(slowest, load.by_scenario.front());
  }
  return slowest;
}

int Improver::HeaviestExpert(int rank) const {
  const auto weight = [&](int expert) {
    double weight = 0;
    for (size_t scenario = 0; scenario < loads_.size(); ++scenario) {
      weight = std::max(weight, Share(scenario, expert));
    }
    return weight;
  };
  return *std::max_element(map_.ranks[rank].begin(), map_.ranks[rank].end(),
                           [&](int a, int b) { return weight(a) < weight(b); });
}

int Improver::SlowestRank() const {
  const auto lighter = [](const RankLoad& a, const RankLoad& b) {
    return a.peak < b.peak;
  };
  return static_cast<int>(
      std::max_element(rank_loads_.begin(), rank_loads_.end(), lighter) -
      rank_loads_.begin());
}

void Improver::ChoosePartners() {
  partners_.resize(map_.ranks.size());
  std::iota(partners_.begin(), partners_.end(), 0);
  const ptrdiff_t count = std::min(std::ssize(partners_), kMaxPartners);
  const auto lighter = [&](int a, int b) {
    return std::pair(rank_loads_[a].peak, a) <
           std::pair(rank_loads_[b].peak, b);
  };
  std::nth_element(partners_.begin(), partners_.begin() + count - 1,
                   partners_.end(), lighter);
  partners_.resize(static_cast<size_t>(count));
}

int Improver::NewExpertsAfter(int rank, int out, int in) const {
  const size_t row = static_cast<size_t>(rank) * counts_.size();
  return new_counts_[rank] + (held_before_[row + in] ? 0 : 1) -
         (held_before_[row + out] ? 0 : 1);
}

bool Improver::IsWithinLimit(const Change& change) const {
  const int out = map_.ranks[change.rank][change.slot];
  return CanReplace(change.rank, out, change.expert) &&
         (change.swap_rank < 0 ||
          CanReplace(change.swap_rank, change.expert, out));
}

void Improver::Consider(const Change& change,
                        std::optional<Change>& best) const {
  const double gain = (peak_ - change.peak) / change.moves;
  if (gain <= peak_ * kMinGain) {
    return;
  }
  if ((!best || gain > (peak_ - best->peak) / best->moves) &&
      IsWithinLimit(change)) {
    best = change;
  }
}

double Improver::PeakAfterReplace(int hot_rank,
                                  int rank,
                                  int slot,
                                  int expert,
                                  double limit) const {
  const int dropped = map_.ranks[rank][slot];
  double peak = 0;
  for (size_t scenario = 0; scenario < loads_.size(); ++scenario) {
    const double dropped_after =
        Load(scenario, dropped) / (counts_[dropped] - 1);
    const double added_after = Load(scenario, expert) / (counts_[expert] + 1);
    const double dropped_change = dropped_after - Share(scenario, dropped);
    const double added_change = added_after - Share(scenario, expert);
    const auto load_after = [&](int at) {
      return rank_loads_[at].by_scenario[scenario] +
             (Holds(at, expert) ? added_change : 0) +
             (Holds(at, dropped) ? dropped_change : 0);
    };
    peak = std::max(peak, load_after(rank) - dropped_after + added_after);
    if (rank != hot_rank) {
      peak = std::max(peak, load_after(hot_rank));
    }
    if (peak >= limit) {
      return peak;
    }
    for (int holder : holders_[dropped]) {
      if (holder != rank) {
        peak = std::max(peak, load_after(holder));
      }
    }
  }
  return peak;
}

double Improver::PeakAfterSwap(int hot_rank, int out, int rank, int in) const {
  double peak = 0;
  for (size_t scenario = 0; scenario < loads_.size(); ++scenario) {
    const double shift = Share(scenario, out) - Share(scenario, in);
    peak = std::max({peak, rank_loads_[hot_rank].by_scenario[scenario] - shift,
                     rank_loads_[rank].by_scenario[scenario] + shift});
  }
  return peak;
}

void Improver::ConsiderReplicas(int hot_rank,
                                std::optional<Change>& best) const {
  for (int expert : map_.ranks[hot_rank]) {
    for (int rank : partners_) {
      if (Holds(rank, expert)) {
        continue;
      }
      for (int slot = 0; slot < std::ssize(map_.ranks[rank]); ++slot) {
        if (!MayDrop(map_.ranks[rank][slot])) {
          continue;
        }
        Consider(
            {.rank = rank,
             .slot = slot,
             .expert = expert,
             .peak = PeakAfterReplace(hot_rank, rank, slot, expert, peak_)},
            best);
      }
    }
  }
}

void Improver::ConsiderDrops(int hot_rank, std::optional<Change>& best) const {
  for (int slot = 0; slot < std::ssize(map_.ranks[hot_rank]); ++slot) {
    if (!MayDrop(map_.ranks[hot_rank][slot])) {
      continue;
    }
    for (int partner : partners_) {
      for (int expert : map_.ranks[partner]) {
        if (!Holds(hot_rank, expert)) {
          Consider({.rank = hot_rank,
                    .slot = slot,
                    .expert = expert,
                    .peak = PeakAfterReplace(hot_rank, hot_rank, slot, expert,
                                             peak_)},
                   best);
        }
      }
    }
  }
}

void Improver::ConsiderSwaps(int hot_rank, std::optional<Change>& best) const {
  for (int slot = 0; slot < std::ssize(map_.ranks[hot_rank]); ++slot) {
    const int out = map_.ranks[hot_rank][slot];
    for (int rank : partners_) {
      if (Holds(rank, out)) {
        continue;
      }
      for (int other = 0; other < std::ssize(map_.ranks[rank]); ++other) {
        const int in = map_.ranks[rank][other];
        if (Holds(hot_rank, in)) {
          continue;
        }
        Consider({.rank = hot_rank,
                  .slot = slot,
                  .expert = in,
                  .swap_rank = rank,
                  .swap_slot = other,
                  .moves = 2,
                  .peak = PeakAfterSwap(hot_rank, out, rank, in)},
                 best);
      }
    }
  }
}

void Improver::AddShares(int expert, double sign) {
  for (int holder : holders_[expert]) {
    RankLoad& load = rank_loads_[holder];
    load.peak = 0;
    for (size_t scenario = 0; scenario < loads_.size(); ++scenario) {
      load.by_scenario[scenario] += sign * Share(scenario, expert);
      load.peak = std::max(load.peak, load.by_scenario[scenario]);
    }
  }
}

void Improver::ReplaceExpert(int rank, int slot, int expert) {
  int& held = map_.ranks[rank][slot];
  new_counts_[rank] = NewExpertsAfter(rank, held, expert);
  const size_t row = static_cast<size_t>(rank) * counts_.size();
  AddShares(held, -1);
  AddShares(expert, -1);
  std::erase(holders_[held], rank);
  holders_[expert].push_back(rank);
  --counts_[held];
  ++counts_[expert];
  held_[row + held] = false;
  held_[row + expert] = true;
  AddShares(held, 1);
  AddShares(expert, 1);
  held = expert;
}

void Improver::Apply(const Change& change) {
  const int dropped = map_.ranks[change.rank][change.slot];
  if (change.swap_rank < 0) {
    ReplaceExpert(change.rank, change.slot, change.expert);
    return;
  }
  // Adds a replica of `dropped` first, so that it always has at least one.
  ReplaceExpert(change.swap_rank, change.swap_slot, dropped);
  ReplaceExpert(change.rank, change.slot, change.expert);
}

}  // namespace wagtailshore::placement
