#include "state/placement/improver.h"

#include <algorithm>

namespace wagtailshore::placement {
namespace {

// Smaller gains are rounding.
constexpr double kLeastGain = 1e-6;

}  // namespace

Improver::Improver(const ExpertMap& map, const Loads& loads)
    : map_(map),
      loads_(loads),
      counts_(ReplicaCounts(map, loads.size())),
      rank_loads_(RankLoads(map, loads)),
      held_(map.ranks.size() * loads.size()),
      holders_(loads.size()) {
  for (size_t rank = 0; rank < map_.ranks.size(); ++rank) {
    for (int expert : map_.ranks[rank]) {
      held_[rank * loads_.size() + expert] = true;
      holders_[expert].push_back(static_cast<int>(rank));
    }
  }
}

int Improver::Step() {
  const int hot = Slowest();
  peak_ = rank_loads_[hot];
  std::optional<Change> best;
  OfferReplicas(hot, best);
  OfferDrops(hot, best);
  OfferSwaps(hot, best);
  if (!best) {
    return 0;
  }
  Carry(*best);
  return best->moves;
}

int Improver::Slowest() const {
  return static_cast<int>(
      std::max_element(rank_loads_.begin(), rank_loads_.end()) -
      rank_loads_.begin());
}

void Improver::Offer(const Change& change, std::optional<Change>& best) const {
  const double top = peak_;
  const double gain = (top - change.peak) / change.moves;
  if (gain <= top * kLeastGain) {
    return;
  }
  if (!best || gain > (top - best->peak) / best->moves) {
    best = change;
  }
}

double Improver::PeakAfterReplace(int hot,
                                  int rank,
                                  int slot,
                                  int expert) const {
  const int dropped = map_.ranks[rank][slot];
  const double dropped_before = Share(dropped);
  const double dropped_after = loads_[dropped] / (counts_[dropped] - 1);
  const double added_before = Share(expert);
  const double added_after = loads_[expert] / (counts_[expert] + 1);
  const auto load_after = [&](int at) {
    double load = rank_loads_[at];
    if (Holds(at, expert)) {
      load += added_after - added_before;
    }
    if (Holds(at, dropped)) {
      load += dropped_after - dropped_before;
    }
    return load;
  };
  double peak = load_after(rank) - dropped_after + added_after;
  if (rank != hot) {
    peak = std::max(peak, load_after(hot));
  }
  for (int holder : holders_[dropped]) {
    if (holder != rank) {
      peak = std::max(peak, load_after(holder));
    }
  }
  return peak;
}

void Improver::OfferReplicas(int hot, std::optional<Change>& best) const {
  for (int expert : map_.ranks[hot]) {
    for (int rank = 0; rank < std::ssize(map_.ranks); ++rank) {
      // A rank that is as slow takes no more.
      const double added = loads_[expert] / (counts_[expert] + 1);
      if (Holds(rank, expert)) {
        continue;
      }
      for (int slot = 0; slot < std::ssize(map_.ranks[rank]); ++slot) {
        const int dropped = map_.ranks[rank][slot];
        if (counts_[dropped] < 2 ||
            rank_loads_[rank] - Share(dropped) + added >= rank_loads_[hot]) {
          continue;
        }
        Offer({.rank = rank,
               .slot = slot,
               .expert = expert,
               .peak = PeakAfterReplace(hot, rank, slot, expert)},
              best);
      }
    }
  }
}

void Improver::OfferDrops(int hot, std::optional<Change>& best) const {
  for (int slot = 0; slot < std::ssize(map_.ranks[hot]); ++slot) {
    if (counts_[map_.ranks[hot][slot]] < 2) {
      continue;
    }
    for (int expert = 0; expert < std::ssize(loads_); ++expert) {
      if (!Holds(hot, expert)) {
        Offer({.rank = hot,
               .slot = slot,
               .expert = expert,
               .peak = PeakAfterReplace(hot, hot, slot, expert)},
              best);
      }
    }
  }
}

void Improver::OfferSwaps(int hot, std::optional<Change>& best) const {
  for (int slot = 0; slot < std::ssize(map_.ranks[hot]); ++slot) {
    const int out = map_.ranks[hot][slot];
    for (int rank = 0; rank < std::ssize(map_.ranks); ++rank) {
      if (Holds(rank, out)) {
        continue;
      }
      for (int other = 0; other < std::ssize(map_.ranks[rank]); ++other) {
        const int in = map_.ranks[rank][other];
        const double shift = Share(out) - Share(in);
        if (shift <= 0 || Holds(hot, in)) {
          continue;
        }
        Offer({.rank = hot,
               .slot = slot,
               .expert = in,
               .swap_rank = rank,
               .swap_slot = other,
               .moves = 2,
               .peak = std::max(rank_loads_[hot] - shift,
                                rank_loads_[rank] + shift)},
              best);
      }
    }
  }
}

void Improver::Put(int rank, int slot, int expert) {
  int& held = map_.ranks[rank][slot];
  for (int changed : {held, expert}) {
    const int delta = changed == expert ? 1 : -1;
    for (int holder : holders_[changed]) {
      rank_loads_[holder] -= Share(changed);
    }
    if (delta > 0) {
      holders_[changed].push_back(rank);
    } else {
      std::erase(holders_[changed], rank);
    }
    counts_[changed] += delta;
    held_[static_cast<size_t>(rank) * loads_.size() + changed] = delta > 0;
    for (int holder : holders_[changed]) {
      rank_loads_[holder] += Share(changed);
    }
  }
  held = expert;
}

void Improver::Carry(const Change& change) {
  const int dropped = map_.ranks[change.rank][change.slot];
  if (change.swap_rank >= 0) {
    Put(change.swap_rank, change.swap_slot, dropped);
  }
  Put(change.rank, change.slot, change.expert);
}

}  // namespace wagtailshore::placement
