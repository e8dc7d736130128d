#ifndef DAEMON_COMPANION_GROUP_COORDINATOR_H_
#define DAEMON_COMPANION_GROUP_COORDINATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/map_coordinator/map_coordinator.h"
#include "coordination/map_coordinator/map_stock.h"
#include "protocol/companion_messages/companion_messages.h"
#include "state/expert_demand/expert_demand.h"
#include "state/placement/expert_map.h"
#include "state/serving/configuration.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/http_call.h"

namespace wagtailshore::companion {

inline constexpr int kSupersededStatus = 409;

struct GroupCoordinatorOptions {
  std::string group;
  int ranks = 1;
  // Won from the store; higher than that of any coordinator before.
  uint64_t generation = 1;
  // How the group's engines place experts.
  serving::EngineModel engine;
  std::string store_address;
  std::string service;
  // Time between polls in quiet, and while a switch is under way; more for
  // large groups, see PeriodFor().
  common::Duration poll_period = common::milliseconds(120);
  common::Duration switch_poll_period = common::milliseconds(50);
  // Time that one poll or order of a large group takes the coordinator: about
  // 0.3 ms of work at 0.15 of a core.
  common::Duration time_per_rank = common::milliseconds(2);
  // Time that one rank's copy of a new map takes on the coordinator's link.
  common::Duration map_time_per_rank = common::milliseconds(8);
  common::Duration poll_timeout = common::milliseconds(400);
  common::Duration order_timeout = common::milliseconds(150);
  // Choices are asked of as many ranks as have this many counters together,
  // about a byte each, and of 8 at least: requests are spread evenly, so a part
  // of a large group tells enough.
  int counters_per_round = 16'000;
  int least_sampled_ranks = 8;
  // Time between readings of choices; a shift shows in the first and is known
  // in the second one after it.
  common::Duration choices_period = common::milliseconds(60);
  // Time between two looks for a better map.
  common::Duration plan_period = common::milliseconds(120);
  // Time between readings of the companions' table while some are missing.
  common::Duration directory_period = common::seconds(3);
};

// Carries out what MapCoordinator decides for one group, through the companions
// beside its ranks, and looks for better maps.
class GroupCoordinator {
 public:
  // `on_superseded` is called once, when a later coordinator exists.
  GroupCoordinator(event_loop::EventLoop& loop,
                   http_channel::HttpCaller& peers,
                   http_channel::HttpCaller& store,
                   GroupCoordinatorOptions options,
                   std::function<void()> on_superseded);
  ~GroupCoordinator();
  GroupCoordinator(const GroupCoordinator&) = delete;
  GroupCoordinator& operator=(const GroupCoordinator&) = delete;

 private:
  struct Peer {
    companion_messages::CompanionEntry entry;
    bool poll_in_flight = false;
    // The last relay to this companion failed: orders go to its engine.
    bool unreachable = false;
    int rank = -1;
    // Versions of maps that this companion has taken and may still know.
    std::set<uint64_t> known_maps;
  };
  struct DatedReport {
    map_coordinator::RankReport report;
    // When it was asked for.
    common::Time asked_at{};
  };
  // The experts of one rank, by layer, and the map they are of.
  struct RankExperts {
    uint64_t epoch = 0;
    uint64_t version = 0;
    std::vector<std::vector<int>> layers;
  };

  void ReadDirectory();
  void OnDirectory(const http_channel::CallResult& result);
  void Tick();
  void PollAll();
  // Polls the ranks whose choices are asked for.
  void PollSampled();
  void Poll(Peer& peer, const std::vector<std::string>& slow_engines);
  // `asked_at` is when the poll was sent.
  void OnPolled(const std::string& address,
                const http_channel::CallResult& result,
                common::Time asked_at);
  void OnPollResult(Peer& peer,
                    const http_channel::CallResult& result,
                    common::Time asked_at);
  bool HasFreshReport(const Peer& peer) const;
  // Whether the rank's choices are asked for.
  bool IsSampled(const Peer& peer) const;
  // The readings of choices that were asked for together are all there.
  void CloseRound();
  void ReadEngineDirectly(Peer& peer);
  void OnState(Peer& peer,
               const companion_messages::RankState& state,
               common::Time asked_at);
  void GiveOrders();
  void Relay(const map_coordinator::RankOrder& order);
  void OnRelayed(const std::string& address,
                 const map_coordinator::RankOrder& order,
                 const http_channel::CallResult& result);
  // What an order says of its map to this companion.
  const std::string& EncodedMapFor(const Peer& peer,
                                   const map_coordinator::PrepareMap& prepare);
  void OnOutcome(uint64_t order_id, map_coordinator::OrderOutcome outcome);
  void PlanIfDue();
  std::optional<std::vector<placement::ExpertMap>> CurrentMaps() const;
  bool WantsMap(const Peer& peer) const;
  // "IP:port" of engines that are left without experts.
  std::vector<std::string> SlowEngines() const;
  // `least`, or the time that telling every rank takes when that is longer.
  common::Duration PeriodFor(common::Duration least) const;
  common::Duration TimeoutOf(const map_coordinator::RankOrder& order) const;
  Peer* PeerOf(int rank);
  void Stop();
  // Wraps a callback so that it does nothing once this object is gone.
  std::function<void(http_channel::CallResult)> Guarded(
      std::function<void(const http_channel::CallResult&)> done);

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& peer_caller_;
  http_channel::HttpCaller& store_caller_;
  GroupCoordinatorOptions options_;
  std::function<void()> on_superseded_;
  map_coordinator::MapCoordinator decisions_;
  expert_demand::ExpertDemand demand_;
  // By peer address.
  std::map<std::string, Peer> peers_;
  std::map<int, RankExperts> experts_;
  std::map<int, DatedReport> reports_;
  // By rank, as last reported.
  std::vector<double> paces_;
  // Ranks whose choices are asked for.
  int sampled_ranks_;
  common::Time next_poll_{};
  common::Time next_choices_{};
  common::Time next_plan_{};
  common::Time next_directory_{};
  event_loop::TimerId timer_ = event_loop::kNoTimer;
  // The last map that was ordered to be prepared: whole, and as changes of the
  // one in use, which are empty when that one is not in the stock.
  std::shared_ptr<const map_coordinator::GroupMap> ordered_map_;
  std::string encoded_map_;
  uint64_t base_version_ = 0;
  std::string encoded_changes_;
  map_coordinator::MapHistory maps_;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wagtailshore::companion

#endif  // DAEMON_COMPANION_GROUP_COORDINATOR_H_
