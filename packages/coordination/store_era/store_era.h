#ifndef COORDINATION_STORE_ERA_STORE_ERA_H_
#define COORDINATION_STORE_ERA_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

// Detects that the platform's store came back from an older copy of itself.
namespace wagtailshore::store_era {

// The first number of an era. Numbers taken from here on are higher than all
// that were taken in earlier eras, also those that the store has lost.
constexpr uint64_t FirstNumberOf(uint64_t era) {
  constexpr int kNumbersPerEraLog2 = 16;
  return era << kNumbersPerEraLog2;
}

// Follows the store's era through its answers, for all users of the store in
// one process. After a restart from an older copy, revisions are used again, so
// nothing that was read in one era may be combined with answers of another one.
class StoreEra {
 public:
  // Adds a function to call each time the store has gone back. It must drop the
  // calls in progress and read everything again.
  void OnRestored(std::function<void()> restored) {
    restored_.push_back(std::move(restored));
  }

  // Handles the era in an answer; nullopt if it states none. Returns whether
  // the answer is from the current era as known before the answer; any other
  // answer must be dropped. Calls the OnRestored() functions first if the
  // answer is from a later era.
  [[nodiscard]] bool Accept(std::optional<uint64_t> era);

  // 0 before the first answer.
  uint64_t current() const { return current_.value_or(0); }

 private:
  std::optional<uint64_t> current_;
  std::vector<std::function<void()>> restored_;
};

}  // namespace wagtailshore::store_era

#endif  // COORDINATION_STORE_ERA_STORE_ERA_H_
