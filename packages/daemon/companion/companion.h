#ifndef DAEMON_COMPANION_COMPANION_H_
#define DAEMON_COMPANION_COMPANION_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "absl/status/status.h"
#include "coordination/store_era/store_era.h"
#include "daemon/companion/group_coordinator.h"
#include "platform/engine.h"
#include "platform/store.h"
#include "state/expert_demand/expert_demand.h"
#include "state/serving/hosted_settings.h"
#include "transport/http_channel/channel_server.h"
#include "transport/http_channel/endpoint_pool.h"

namespace wagtailshore::companion {

struct CompanionOptions {
  // Timeout of one attempt to send an order to the engine. Short, because a
  // held group waits for the slowest of its ranks and engines answer within a
  // few milliseconds. Repeating an order is safe: an engine accepts an order
  // that it has already carried out.
  common::Duration order_timeout = common::milliseconds(40);
  // Attempts to send an order before its outcome is reported as unknown.
  int order_tries = 4;
};

// The process that runs next to a model engine of a hosted deployment. Reads
// the engine's state and relays orders to the engine for the coordinator of the
// group. Becomes the coordinator itself when the group has none.
class Companion final : public http_channel::RequestHandler {
 public:
  Companion(event_loop::EventLoop& loop,
            serving::HostedSettings settings,
            CompanionOptions options);
  ~Companion() override;

  // Listens on the address for other companions; fails when it cannot be bound.
  absl::Status Start();
  // The port for other companions; only after Start().
  uint16_t peer_port() const { return server_.port(); }
  // Stops at once; another companion takes over coordination of the group.
  void Drain() { loop_.Stop(); }

  void OnRequest(http_channel::CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string body) override;
  void OnCallerGone(http_channel::CallerChannel& channel) override;

 private:
  // A poll whose requests to the engine are in progress.
  struct PendingPoll {
    companion_messages::RankState state;
    int reads_left = 0;
    bool failed = false;
  };

  void OnPoll(http_channel::CallerChannel& channel, const std::string& body);
  void OnOrder(http_channel::CallerChannel& channel, const std::string& body);
  // Answers a gateway. The list is empty when no coordinator has contacted this
  // companion within kCoordinatorTimeout.
  void OnSlowEngines(http_channel::CallerChannel& channel);
  // Sends an order to the engine and answers the coordinator's request `id`
  // with the outcome. Makes up to `tries` attempts while the engine does not
  // answer and the coordinator still waits.
  void SendOrder(uint64_t id, const http_channel::Call& order, int tries);
  void FinishRead(uint64_t poll_id, bool ok);
  void ReadEngine(const http_channel::Call& call,
                  std::function<void(const http_channel::CallResult&)> done);
  // Answers request `id`; does nothing when its caller has disconnected.
  void Answer(uint64_t id, int status, std::string_view body);
  // Returns the id of a request that is answered later with Answer().
  uint64_t AddPendingRequest(http_channel::CallerChannel& channel);

  // Writes this companion's entry to the store, with retries.
  void Register();
  void RegisterAfter(common::Duration delay);
  // Calls the store. A result from before the store went back to an older copy
  // is replaced by an error.
  void CallStore(const http_channel::Call& call,
                 std::function<void(const http_channel::CallResult&)> done);
  void OnStoreRestored();
  // While coordinating: reads the own claim. Writes it again if the store has
  // lost it, and stops coordinating if a later one exists.
  void VerifyClaim();
  void OnClaimRead(const http_channel::CallResult& result);
  // Starts a takeover when the coordinator has been silent for too long.
  void CheckCoordinator();
  // Steps of becoming the coordinator: read the own engine and the
  // configuration, then write the claim to the store.
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
  void StartCoordinating(const platform::EngineState& state,
                         const serving::EngineModel& engine,
                         uint64_t generation);
  // Reads who coordinated when this process started.
  void ReadClaimsAtStart();
  // Tries to take over again once the group has opened.
  void AwaitOpenEngine();
  // Whether another companion claimed the group since this one started, and has
  // not called yet.
  bool IsNewClaim(const std::string& key,
                  const companion_messages::CoordinatorEntry& entry) const;
  void EndCoordination();
  void AbortTakeOver(std::string_view why);
  std::string peer_address() const;

  event_loop::EventLoop& loop_;
  serving::HostedSettings settings_;
  CompanionOptions options_;
  http_channel::EndpointPool pool_;
  http_channel::HttpCaller caller_;
  http_channel::ChannelLimiter limiter_;
  http_channel::ChannelServer server_;
  store_era::StoreEra era_;
  // Counts how often the store went back.
  uint64_t store_generation_ = 0;
  event_loop::TimerId register_timer_ = event_loop::kNoTimer;
  // Key of the coordinator's row; empty until this companion claims it.
  std::string claim_key_;
  // Channels that wait for an answer, by request id.
  std::map<uint64_t, http_channel::CallerChannel*> pending_channels_;
  std::map<uint64_t, PendingPoll> pending_polls_;
  uint64_t next_request_id_ = 1;
  // Highest fencing number of any coordinator seen so far.
  uint64_t generation_ = 0;
  // Fencing number of the coordinator in this process, if there is one.
  uint64_t own_generation_ = 0;
  // "IP:port" of the group's slow engines, from the coordinator's last poll.
  std::vector<std::string> slow_engines_;
  // Maps that this rank was ordered to prepare; later orders may refer to them.
  map_coordinator::MapHistory maps_;
  // Unset until the engine's state has been read.
  std::optional<int> rank_;
  expert_demand::ChoiceCounter choices_;
  // When the coordinator last sent a poll or an order.
  common::Time last_coordinator_contact_{};
  bool taking_over_ = false;
  bool awaiting_open_engine_ = false;
  // Whether the process before this one was the coordinator: nobody else is, so
  // this one takes over at once.
  bool resumes_ = false;
  // Generations of the claims in the store at the start, by key.
  std::map<std::string, uint64_t> claims_at_start_;
  std::unique_ptr<GroupCoordinator> coordinator_;
  std::minstd_rand random_;
};

}  // namespace wagtailshore::companion

#endif  // DAEMON_COMPANION_COMPANION_H_
