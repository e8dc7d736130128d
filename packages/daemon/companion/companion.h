#ifndef DAEMON_COMPANION_COMPANION_H_
#define DAEMON_COMPANION_COMPANION_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "absl/status/status.h"
#include "daemon/companion/group_coordinator.h"
#include "platform/engine.h"
#include "platform/store.h"
#include "state/expert_demand/expert_demand.h"
#include "state/serving/hosted_settings.h"
#include "transport/http_channel/channel_server.h"
#include "transport/http_channel/endpoint_pool.h"

namespace wagtailshore::companion {

struct CompanionOptions {
  // An order without an answer is given again after this, as a group that is
  // held waits for the slowest of its ranks; engines answer within a few
  // milliseconds, and take an order that they have carried out for done.
  common::Duration order_timeout = common::milliseconds(40);
  int order_tries = 4;
};

// The process beside a model engine of a hosted deployment. Reads its engine
// and passes orders on for whoever coordinates the group, and coordinates the
// group itself when nobody does.
class Companion final : public http_channel::RequestHandler {
 public:
  Companion(event_loop::EventLoop& loop,
            serving::HostedSettings settings,
            CompanionOptions options);
  ~Companion() override;

  // Opens the address for other companions; fails when it cannot be bound.
  absl::Status Start();
  // The port for other companions; only after Start().
  uint16_t peer_port() const { return server_.port(); }
  // Leaves at once: the next companion takes the group over.
  void Drain() { loop_.Stop(); }

  void OnRequest(http_channel::CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string body) override;
  void OnCallerGone(http_channel::CallerChannel& channel) override;

 private:
  // A poll whose readings of the engine are under way.
  struct PendingPoll {
    companion_messages::RankState state;
    int readings_left = 0;
    bool failed = false;
  };

  void OnPoll(http_channel::CallerChannel& channel, const std::string& body);
  void OnOrder(http_channel::CallerChannel& channel, const std::string& body);
  // Answers a gateway; nothing is known of a group without a coordinator.
  void OnSlowEngines(http_channel::CallerChannel& channel);
  // Gives the engine an order, again when no answer comes, and answers the
  // coordinator's request `id`.
  void GiveOrder(uint64_t id, const http_channel::Call& order, int tries);
  void FinishReading(uint64_t poll_id, bool ok);
  void ReadEngine(const http_channel::Call& call,
                  std::function<void(const http_channel::CallResult&)> done);
  void Answer(uint64_t id, int status, std::string_view body);
  uint64_t Pend(http_channel::CallerChannel& channel);

  void Register();
  void WatchCoordinator();
  // Steps of becoming the coordinator: own engine, configuration, claim.
  void TakeOver();
  void OnOwnState(const platform::EngineState& state);
  void OnConfiguration(const platform::EngineState& state,
                       const http_channel::CallResult& result);
  void ReadClaim(const platform::EngineState& state,
                 const serving::EngineModel& engine);
  void Claim(const platform::EngineState& state,
             const serving::EngineModel& engine,
             const platform::Row& row,
             uint64_t generation);
  void Coordinate(const platform::EngineState& state,
                  const serving::EngineModel& engine,
                  uint64_t generation);
  void GiveUpTakeOver(std::string_view why);
  std::string peer_address() const;

  event_loop::EventLoop& loop_;
  serving::HostedSettings settings_;
  CompanionOptions options_;
  http_channel::EndpointPool pool_;
  http_channel::HttpCaller caller_;
  http_channel::ChannelServer server_;
  // Channels that wait for an answer, by its number.
  std::map<uint64_t, http_channel::CallerChannel*> pending_channels_;
  std::map<uint64_t, PendingPoll> pending_polls_;
  uint64_t next_pending_ = 1;
  // Highest fencing number met.
  uint64_t generation_ = 0;
  // Engines of the group that are slow, as the coordinator told last.
  std::vector<std::string> slow_engines_;
  // Maps that this rank was told to prepare.
  map_coordinator::MapHistory maps_;
  // Unknown until the engine was read.
  std::optional<int> rank_;
  expert_demand::ChoiceCounter choices_;
  common::Time heard_at_{};
  bool taking_over_ = false;
  std::unique_ptr<GroupCoordinator> coordinator_;
  std::minstd_rand random_;
};

}  // namespace wagtailshore::companion

#endif  // DAEMON_COMPANION_COMPANION_H_
