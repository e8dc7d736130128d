#ifndef SUPPORT_FAULT_PLAN_H_
#define SUPPORT_FAULT_PLAN_H_

#include <random>
#include <set>
#include <utility>

#include "common/time.h"

namespace wagtailshore::test_support {

// Probabilities, 0 to 1, of faults in single messages.
struct FaultRates {
  double table_request_lost = 0;
  double table_answer_lost = 0;
  // The request may take effect only after its timeout.
  double table_request_delayed = 0;
  double message_lost = 0;
  double message_duplicated = 0;
  double message_delayed = 0;
  // An endpoint refuses an attempt, but may accept a duplicate of it.
  double attempt_refused = 0;
  double service_answer_lost = 0;
};

// Stands for the platform where Cut and Connected expect a failure domain.
inline constexpr int kPlatform = -1;

// Keeps the faults that are active now, and draws random faults for single
// messages.
class FaultPlan {
 public:
  FaultPlan(uint64_t seed, FaultRates rates) : random_(seed), rates_(rates) {}

  const FaultRates& rates() const { return rates_; }
  void set_rates(const FaultRates& rates) { rates_ = rates; }

  bool Happens(double chance) {
    return std::uniform_real_distribution<>(0, 1)(random_) < chance;
  }
  // Returns a random number from 0 to `below` - 1.
  int Number(int below) {
    return std::uniform_int_distribution<>(0, below - 1)(random_);
  }
  common::Duration Between(common::Duration low, common::Duration high) {
    return common::Duration(
        std::uniform_int_distribution<common::Duration::rep>(
            low.count(), high.count())(random_));
  }
  // Returns the random transit time of one message.
  common::Duration Delay(double delay_probability) {
    return Happens(delay_probability)
               ? Between(common::seconds(1), common::seconds(15))
               : Between(common::milliseconds(1), common::milliseconds(20));
  }

  // Cuts the connection between two failure domains, or a failure domain and
  // kPlatform.
  void Cut(int one, int other) { cuts_.insert(std::minmax(one, other)); }
  // Restores all connections.
  void Heal() { cuts_.clear(); }
  bool Connected(int one, int other) const {
    return !cuts_.contains(std::minmax(one, other));
  }
  void set_store_down(bool down) { store_down_ = down; }
  // Sets the additional transit time to and from the table.
  void set_store_delay(common::Duration delay) { store_delay_ = delay; }
  common::Duration StoreDelay(double delay_probability) {
    return store_delay_ + Delay(delay_probability);
  }
  // Whether the table can be reached from a failure domain.
  bool StoreReachable(int domain) const {
    return !store_down_ && Connected(kPlatform, domain);
  }

 private:
  std::mt19937_64 random_;
  FaultRates rates_;
  std::set<std::pair<int, int>> cuts_;
  bool store_down_ = false;
  common::Duration store_delay_{};
};

}  // namespace wagtailshore::test_support

#endif  // SUPPORT_FAULT_PLAN_H_
