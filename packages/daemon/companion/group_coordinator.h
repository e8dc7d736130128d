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
#include "coordination/store_era/store_era.h"
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
  // The rank beside this process.
  int own_rank = 0;
  // Fencing number that this coordinator claimed in the store; higher than that
  // of any earlier coordinator.
  uint64_t generation = 1;
  // Layers, experts and expert slots of the group's engines.
  serving::EngineModel engine;
  std::string store_address;
  std::string service;
  // Time between polls while no map switch is in progress, and during one.
  common::Duration poll_period = common::milliseconds(120);
  common::Duration switch_poll_period = common::milliseconds(50);
  // Time that the coordinator needs for one poll or order of one rank: about
  // 0.3 ms of work at 0.15 of a core.
  common::Duration time_per_rank = common::milliseconds(2);
  // Time to send a new map to one rank over the coordinator's link.
  common::Duration map_time_per_rank = common::milliseconds(8);
  common::Duration poll_timeout = common::milliseconds(400);
  common::Duration order_timeout = common::milliseconds(150);
  // Expert choices are read from as many ranks as together have this many
  // counters, about a byte each, and from at least `min_sampled_ranks`.
  // Requests are spread evenly, so a sample of a large group is sufficient.
  int counters_per_round = 16'000;
  int min_sampled_ranks = 8;
  // Time between readings of expert choices. A shift in demand appears in the
  // first reading after it and is confirmed by the second.
  common::Duration choices_period = common::milliseconds(60);
  // Time between searches for a better map; longer in large groups, see
  // PeriodFor().
  common::Duration plan_period = common::milliseconds(120);
  // Time between reads of the companions' table while ranks are missing.
  common::Duration directory_period = common::seconds(3);
};

// Coordinates the expert maps of one group: polls its ranks and sends them the
// orders of MapCoordinator, both through their companions, and plans better
// maps.
class GroupCoordinator {
 public:
  // `on_superseded` is called once, when a coordinator with a higher fencing
  // number exists. It may destroy this object.
  GroupCoordinator(event_loop::EventLoop& loop,
                   http_channel::HttpCaller& peers,
                   http_channel::HttpCaller& store,
                   GroupCoordinatorOptions options,
                   store_era::StoreEra& era,
                   std::function<void()> on_superseded);
  ~GroupCoordinator();
  GroupCoordinator(const GroupCoordinator&) = delete;
  GroupCoordinator& operator=(const GroupCoordinator&) = delete;

 private:
  struct Peer {
    companion_messages::CompanionEntry entry;
    bool poll_in_flight = false;
    // The last request to this companion failed; orders go straight to its
    // engine.
    bool unreachable = false;
    // -1 until the rank has been read.
    int rank = -1;
    // Versions of maps that this companion accepted and may still hold; later
    // maps can be sent to it as changes of these.
    std::set<uint64_t> known_maps;
  };
  struct TimedReport {
    map_coordinator::RankReport report;
    // When the report was requested.
    common::Time requested_at{};
  };
  // The experts of one rank, by layer, and the epoch and version of their map.
  struct RankExperts {
    uint64_t epoch = 0;
    uint64_t version = 0;
    std::vector<std::vector<int>> layers;
  };

  void ReadDirectory();
  void OnDirectory(const http_channel::CallResult& result);
  void Tick();
  void PollAll();
  // Polls only the ranks whose expert choices are sampled.
  void PollSampled();
  void Poll(Peer& peer, const std::vector<std::string>& slow_engines);
  // `requested_at` is when the poll was sent.
  void OnPolled(const std::string& address,
                const http_channel::CallResult& result,
                common::Time requested_at);
  void OnPollResult(Peer& peer,
                    const http_channel::CallResult& result,
                    common::Time requested_at);
  bool HasFreshReport(const Peer& peer) const;
  // Whether the rank's expert choices are read.
  bool IsSampled(const Peer& peer) const;
  // Called when all polls of one round of choice readings have ended.
  void CloseRound();
  // Reads the state from the engine itself when its companion does not answer.
  void ReadEngineDirectly(Peer& peer);
  void OnState(Peer& peer,
               const companion_messages::RankState& state,
               common::Time requested_at);
  void SendOrders();
  void Relay(const map_coordinator::RankOrder& order);
  void OnRelayed(const std::string& address,
                 const map_coordinator::RankOrder& order,
                 const http_channel::CallResult& result);
  // The encoding of the order's map for this companion: changes of a map that
  // it holds, or else the complete map.
  const std::string& EncodedMapFor(const Peer& peer,
                                   const map_coordinator::PrepareMap& prepare);
  void OnOutcome(uint64_t order_id, map_coordinator::OrderOutcome outcome);
  void PlanIfDue();
  // The map in use by layer; nullopt when the experts of some rank are unknown
  // or belong to another map.
  std::optional<std::vector<placement::ExpertMap>> CurrentMaps() const;
  // Whether the rank's experts have not been read since its map last changed.
  bool NeedsExperts(const Peer& peer) const;
  // "IP:port" of engines whose pace is at least expert_demand::kSlowPace.
  std::vector<std::string> SlowEngines() const;
  // The longer of `least` and the time that it takes to contact every rank.
  common::Duration PeriodFor(common::Duration least) const;
  common::Duration OrderTimeout(const map_coordinator::RankOrder& order) const;
  Peer* FindPeer(int rank);
  // Whether this process was paused and no other companion has accepted a poll
  // since: a later coordinator may exist.
  bool MayBeSuperseded() const;
  // Ends the coordination and calls `on_superseded`.
  void Stop();
  // Wraps a callback so that it does nothing once this object is destroyed.
  std::function<void(http_channel::CallResult)> Guarded(
      std::function<void(const http_channel::CallResult&)> done);

  event_loop::EventLoop& loop_;
  http_channel::HttpCaller& peer_caller_;
  http_channel::HttpCaller& store_caller_;
  GroupCoordinatorOptions options_;
  store_era::StoreEra& era_;
  std::function<void()> on_superseded_;
  map_coordinator::MapCoordinator map_coordinator_;
  expert_demand::ExpertDemand demand_;
  // By peer address.
  std::map<std::string, Peer> peers_;
  std::map<int, RankExperts> experts_;
  std::map<int, TimedReport> reports_;
  // Last reported pace of each rank; 1 is normal, 2 takes twice as long.
  std::vector<double> paces_;
  // Number of ranks whose choices are read; ranks 0 to sampled_ranks_ - 1.
  int sampled_ranks_;
  common::Time last_tick_{};
  // When this process last resumed after a pause, and when the last poll was
  // sent that another companion accepted.
  common::Time resumed_at_{};
  common::Time confirmed_at_{};
  common::Time next_poll_{};
  common::Time next_choices_{};
  common::Time next_plan_{};
  common::Time next_directory_{};
  event_loop::TimerId timer_ = event_loop::kNoTimer;
  // The last map that was ordered to be prepared, its complete encoding, and
  // its encoding as changes of the map in use, version `base_version_`. The
  // latter is empty when `maps_` does not hold that version.
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
