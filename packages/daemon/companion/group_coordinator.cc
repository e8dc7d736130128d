#include "daemon/companion/group_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "common/event_log.h"
#include "common/strings.h"
#include "platform/engine.h"
#include "platform/store.h"
#include "protocol/http1/status.h"
#include "state/expert_demand/rebalance.h"

namespace wagtailshore::companion {
namespace {

constexpr common::Duration kTickPeriod = common::milliseconds(25);
// With a badly balanced map one step takes longer than arming all ranks, so one
// step of lead time is enough.
constexpr uint64_t kLeadSteps = 1;
// A longer time between two ticks means that the process was paused. Shorter
// than the time after which others take over.
constexpr common::Duration kPauseLimit = common::milliseconds(600);
// Without an answer of another companion for this long after a pause, there is
// none that could have taken over.
constexpr common::Duration kConfirmTimeout = common::seconds(2);
// Choices per expert and layer needed before a map is planned: enough to tell
// the shares of the most chosen experts from random variation.
constexpr double kMinChoicesPerExpert = 20;

// Load of the slowest rank over the mean, below which no map is planned:
// planning costs processor time and would gain little.
constexpr double kMinSlowestRankLoad = 1.35;

using map_coordinator::OrderOutcome;
using map_coordinator::RankOrder;

}  // namespace

GroupCoordinator::GroupCoordinator(event_loop::EventLoop& loop,
                                   http_channel::HttpCaller& peers,
                                   http_channel::HttpCaller& store,
                                   GroupCoordinatorOptions options,
                                   store_era::StoreEra& era,
                                   std::function<void()> on_superseded)
    : loop_(loop),
      peer_caller_(peers),
      store_caller_(store),
      options_(std::move(options)),
      era_(era),
      on_superseded_(std::move(on_superseded)),
      map_coordinator_({.ranks = options_.ranks,
                        .generation = options_.generation,
                        .hold_rank = (options_.own_rank + 1) % options_.ranks,
                        .lead_steps = kLeadSteps}),
      demand_({.layers = options_.engine.layers,
               .experts = options_.engine.experts}),
      paces_(options_.ranks, 1.0),
      sampled_ranks_(std::max(
          options_.min_sampled_ranks,
          options_.counters_per_round /
              std::max(1, options_.engine.layers * options_.engine.experts))) {
  ReadDirectory();
  Tick();
}

GroupCoordinator::~GroupCoordinator() {
  *alive_ = false;
  loop_.Cancel(timer_);
}

std::function<void(http_channel::CallResult)> GroupCoordinator::Guarded(
    std::function<void(const http_channel::CallResult&)> done) {
  return [alive = alive_,
          done = std::move(done)](const http_channel::CallResult& result) {
    if (*alive) {
      done(result);
    }
  };
}

void GroupCoordinator::ReadDirectory() {
  next_directory_ = loop_.Now() + options_.directory_period;
  store_caller_.Start(
      options_.store_address,
      platform::ReadTableCall(platform::SystemTable::kCompanions),
      common::seconds(1),
      Guarded([this](const http_channel::CallResult& result) {
        OnDirectory(result);
      }));
}

void GroupCoordinator::OnDirectory(const http_channel::CallResult& result) {
  if (!era_.Accept(platform::EraOf(result))) {
    next_directory_ = loop_.Now();
    return;
  }
  const auto rows = platform::DecodeRows(result);
  if (!rows.ok()) {
    common::LogEvent(
        common::EventId::kPlatformUnavailable,
        common::StrCat("reading=companions error=", rows.status().message()));
    return;
  }
  for (const platform::Row& row : rows->rows) {
    const auto entry = companion_messages::DecodeEntry(row.value);
    if (entry.ok() && entry->service == options_.service) {
      peers_[entry->peer_address].entry = *entry;
    }
  }
  next_poll_ = loop_.Now();
}

void GroupCoordinator::Tick() {
  if (stopped_) {
    return;
  }
  timer_ = loop_.RunAfter(kTickPeriod, [this] { Tick(); });
  const common::Time now = loop_.Now();
  if (last_tick_ != common::Time{} && now - last_tick_ > kPauseLimit) {
    resumed_at_ = now;
    next_poll_ = now;
  }
  last_tick_ = now;
  if (std::ssize(reports_) < options_.ranks && now >= next_directory_) {
    ReadDirectory();
  }
  if (now >= next_poll_) {
    const bool idle = map_coordinator_.phase() == map_coordinator::Phase::kIdle;
    next_poll_ =
        now + (idle ? options_.poll_period : options_.switch_poll_period);
    next_choices_ = now + options_.choices_period;
    PollAll();
  } else if (now >= next_choices_ && !map_coordinator_.may_hold_group()) {
    next_choices_ = now + options_.choices_period;
    PollSampled();
  }
  SendOrders();
}

bool GroupCoordinator::MayBeSuperseded() const {
  return confirmed_at_ < resumed_at_ &&
         loop_.Now() < resumed_at_ + kConfirmTimeout;
}

bool GroupCoordinator::HasFreshReport(const Peer& peer) const {
  const auto found = reports_.find(peer.rank);
  return found != reports_.end() &&
         loop_.Now() - found->second.requested_at < options_.poll_timeout;
}

bool GroupCoordinator::IsSampled(const Peer& peer) const {
  return peer.rank >= 0 && peer.rank < sampled_ranks_;
}

void GroupCoordinator::CloseRound() {
  if (demand_.CloseRound(loop_.Now())) {
    common::LogEvent(common::EventId::kDemandShifted,
                     common::StrCat("group=", options_.group,
                                    " map=", map_coordinator_.map_version()));
    // Readings requested from now on contain only the new demand.
    next_plan_ = loop_.Now();
    PollSampled();
    return;
  }
  PlanIfDue();
}

void GroupCoordinator::PollSampled() {
  const std::vector<std::string> slow_engines = SlowEngines();
  for (auto& [address, peer] : peers_) {
    if (!peer.poll_in_flight && IsSampled(peer)) {
      Poll(peer, slow_engines);
    }
  }
}

void GroupCoordinator::PollAll() {
  const std::vector<std::string> slow_engines = SlowEngines();
  for (auto& [address, peer] : peers_) {
    if (!peer.poll_in_flight) {
      Poll(peer, slow_engines);
    }
  }
}

common::Duration GroupCoordinator::PeriodFor(common::Duration least) const {
  return std::max(least, options_.time_per_rank * options_.ranks);
}

common::Duration GroupCoordinator::OrderTimeout(const RankOrder& order) const {
  const bool carries_map =
      std::holds_alternative<map_coordinator::PrepareMap>(order.body);
  return options_.order_timeout +
         options_.ranks * (carries_map ? options_.map_time_per_rank
                                       : options_.time_per_rank);
}

std::vector<std::string> GroupCoordinator::SlowEngines() const {
  std::vector<std::string> engines;
  for (const auto& [address, peer] : peers_) {
    if (peer.rank >= 0 && paces_[peer.rank] >= expert_demand::kSlowPace) {
      engines.push_back(peer.entry.engine_address);
    }
  }
  return engines;
}

bool GroupCoordinator::NeedsExperts(const Peer& peer) const {
  const auto report = reports_.find(peer.rank);
  const auto known = experts_.find(peer.rank);
  return report == reports_.end() || known == experts_.end() ||
         known->second.epoch != report->second.report.epoch ||
         known->second.version != report->second.report.map_version;
}

void GroupCoordinator::Poll(Peer& peer,
                            const std::vector<std::string>& slow_engines) {
  peer.poll_in_flight = true;
  const companion_messages::Poll poll{
      .generation = options_.generation,
      .want_choices = !map_coordinator_.may_hold_group() && IsSampled(peer),
      .want_map = NeedsExperts(peer),
      .slow_engines = slow_engines,
      .store_era = era_.current()};
  const std::string address = peer.entry.peer_address;
  const common::Time requested_at = loop_.Now();
  peer_caller_.Start(address,
                     {.method = "POST",
                      .target = std::string(companion_messages::kPollPath),
                      .body = companion_messages::EncodePoll(poll)},
                     options_.poll_timeout,
                     Guarded([this, address, requested_at](
                                 const http_channel::CallResult& result) {
                       OnPolled(address, result, requested_at);
                     }));
}

void GroupCoordinator::OnPolled(const std::string& address,
                                const http_channel::CallResult& result,
                                common::Time requested_at) {
  Peer& peer = peers_[address];
  peer.poll_in_flight = false;
  if (result.ok() && result->status == kSupersededStatus) {
    Stop();
    return;
  }
  OnPollResult(peer, result, requested_at);
  const bool round_ended =
      std::none_of(peers_.begin(), peers_.end(), [this](const auto& item) {
        return item.second.poll_in_flight && IsSampled(item.second);
      });
  if (round_ended) {
    CloseRound();
  }
}

void GroupCoordinator::OnPollResult(Peer& peer,
                                    const http_channel::CallResult& result,
                                    common::Time requested_at) {
  if (!result.ok()) {
    peer.unreachable = true;
    // A rank whose companion has failed may hold the group, and a coordinator
    // that has just taken over does not know that yet.
    if (map_coordinator_.may_hold_group() || !HasFreshReport(peer)) {
      ReadEngineDirectly(peer);
    }
    return;
  }
  peer.unreachable = false;
  if (peer.rank != options_.own_rank) {
    confirmed_at_ = std::max(confirmed_at_, requested_at);
  }
  if (result->status != http1::kOk) {
    return;
  }
  const auto state = companion_messages::DecodeRankState(result->body);
  if (state.ok()) {
    OnState(peer, *state, requested_at);
  }
}

void GroupCoordinator::ReadEngineDirectly(Peer& peer) {
  peer.poll_in_flight = true;
  const std::string address = peer.entry.peer_address;
  const common::Time requested_at = loop_.Now();
  peer_caller_.Start(peer.entry.engine_address, platform::ReadEngineStateCall(),
                     options_.poll_timeout,
                     Guarded([this, address, requested_at](
                                 const http_channel::CallResult& result) {
                       Peer& answered = peers_[address];
                       answered.poll_in_flight = false;
                       const auto state = platform::DecodeEngineState(result);
                       if (state.ok()) {
                         OnState(answered,
                                 {.group = state->group,
                                  .rank = state->rank,
                                  .ranks = state->ranks,
                                  .pace = state->pace,
                                  .report = state->report},
                                 requested_at);
                       }
                     }));
}

void GroupCoordinator::OnState(Peer& peer,
                               const companion_messages::RankState& state,
                               common::Time requested_at) {
  if (state.group != options_.group || state.ranks != options_.ranks ||
      state.rank < 0 || state.rank >= options_.ranks) {
    return;
  }
  peer.rank = state.rank;
  if (state.report.epoch > map_coordinator_.epoch()) {
    // The requests that ran before are gone.
    demand_.Reset();
  }
  reports_[state.rank] = {.report = state.report, .requested_at = requested_at};
  paces_[state.rank] = state.pace;
  map_coordinator_.OnReport(state.rank, state.report, requested_at);
  if (state.choices.has_value()) {
    demand_.OnChoices(*state.choices);
  }
  if (state.experts.has_value()) {
    experts_[state.rank] = {.epoch = state.report.epoch,
                            .version = state.report.map_version,
                            .layers = *state.experts};
  }
  if (map_coordinator_.phase() != map_coordinator::Phase::kIdle) {
    SendOrders();
  }
}

std::optional<std::vector<placement::ExpertMap>> GroupCoordinator::CurrentMaps()
    const {
  const size_t layers = static_cast<size_t>(options_.engine.layers);
  std::vector<placement::ExpertMap> maps(layers);
  for (int rank = 0; rank < options_.ranks; ++rank) {
    const auto known = experts_.find(rank);
    if (known == experts_.end() ||
        known->second.epoch != map_coordinator_.epoch() ||
        known->second.version != map_coordinator_.map_version() ||
        known->second.layers.size() != layers) {
      return std::nullopt;
    }
    for (size_t layer = 0; layer < layers; ++layer) {
      const std::vector<int>& experts = known->second.layers[layer];
      if (std::any_of(experts.begin(), experts.end(), [this](int expert) {
            return expert < 0 || expert >= options_.engine.experts;
          })) {
        return std::nullopt;
      }
      maps[layer].ranks.push_back(known->second.layers[layer]);
    }
  }
  return maps;
}

void GroupCoordinator::PlanIfDue() {
  const common::Time now = loop_.Now();
  if (now < next_plan_ || demand_.shifting() ||
      !map_coordinator_.CanSwitch(now)) {
    return;
  }
  next_plan_ = now + PeriodFor(options_.plan_period);
  const double min_choices =
      kMinChoicesPerExpert * options_.engine.experts * options_.engine.layers;
  const auto current = CurrentMaps();
  if (!current.has_value() || demand_.total() < min_choices) {
    return;
  }
  if (expert_demand::MeanSlowest(*current, demand_.loads(), paces_) <
      kMinSlowestRankLoad) {
    return;
  }
  const auto plan = expert_demand::PlanRebalance(
      *current, demand_.loads(),
      {.slots_per_rank = options_.engine.expert_slots,
       .max_new_per_rank = options_.engine.spare_slots,
       .copy_time = options_.engine.expert_copy_time,
       .paces = paces_});
  if (!plan.has_value()) {
    return;
  }
  auto map = std::make_shared<map_coordinator::GroupMap>();
  for (const placement::ExpertMap& layer : plan->maps) {
    map->push_back(layer.ranks);
    // Sorted, so that only experts that differ are encoded as changes.
    for (std::vector<int>& experts : map->back()) {
      std::sort(experts.begin(), experts.end());
    }
  }
  common::LogEvent(
      common::EventId::kMapPlanned,
      common::StrCat("group=", options_.group,
                     " from_map=", map_coordinator_.map_version(),
                     " moves=", plan->moves, " copies=", plan->copies,
                     " slowest_before=", plan->slowest_before,
                     " slowest_after=", plan->slowest_after,
                     " choices=", demand_.total()));
  map_coordinator_.Switch(std::move(map), now);
}

void GroupCoordinator::SendOrders() {
  if (MayBeSuperseded()) {
    return;
  }
  const auto before = map_coordinator_.phase();
  for (const RankOrder& order : map_coordinator_.Tick(loop_.Now())) {
    Relay(order);
  }
  if (map_coordinator_.phase() != before) {
    common::LogEvent(
        common::EventId::kMapSwitchPhase,
        common::StrCat(
            "group=", options_.group, " epoch=", map_coordinator_.epoch(),
            " from=", common::NameOf(map_coordinator::kPhaseNames, before),
            " to=",
            common::NameOf(map_coordinator::kPhaseNames,
                           map_coordinator_.phase()),
            " map=", map_coordinator_.map_version()));
  }
}

GroupCoordinator::Peer* GroupCoordinator::FindPeer(int rank) {
  for (auto& [address, peer] : peers_) {
    if (peer.rank == rank) {
      return &peer;
    }
  }
  return nullptr;
}

void GroupCoordinator::Relay(const RankOrder& order) {
  Peer* peer = FindPeer(order.rank);
  if (peer == nullptr) {
    OnOutcome(order.id, OrderOutcome::kRefused);
    return;
  }
  if (peer->unreachable) {
    peer_caller_.Start(
        peer->entry.engine_address, platform::EngineOrderCall(order),
        OrderTimeout(order),
        Guarded([this, id = order.id](const http_channel::CallResult& result) {
          OnOutcome(id, platform::DecodeOrderOutcome(result));
        }));
    return;
  }
  const auto* prepare = std::get_if<map_coordinator::PrepareMap>(&order.body);
  const std::string encoded_map =
      prepare == nullptr ? std::string() : EncodedMapFor(*peer, *prepare);
  const std::string address = peer->entry.peer_address;
  peer_caller_.Start(
      address,
      {.method = "POST",
       .target = std::string(companion_messages::kOrderPath),
       .body = companion_messages::EncodeOrder(order, encoded_map)},
      OrderTimeout(order),
      Guarded([this, address, order](const http_channel::CallResult& result) {
        OnRelayed(address, order, result);
      }));
}

const std::string& GroupCoordinator::EncodedMapFor(
    const Peer& peer,
    const map_coordinator::PrepareMap& prepare) {
  if (prepare.map != ordered_map_) {
    ordered_map_ = prepare.map;
    encoded_map_ = companion_messages::EncodeMap(*ordered_map_);
    base_version_ = map_coordinator_.map_version();
    const auto base = maps_.Find(base_version_);
    encoded_changes_ = base == nullptr
                           ? std::string()
                           : companion_messages::EncodeMapChanges(
                                 base_version_, *base, *ordered_map_);
    maps_.Add(prepare.version, ordered_map_);
  }
  const bool by_changes =
      !encoded_changes_.empty() && peer.known_maps.contains(base_version_);
  return by_changes ? encoded_changes_ : encoded_map_;
}

void GroupCoordinator::OnRelayed(const std::string& address,
                                 const RankOrder& order,
                                 const http_channel::CallResult& result) {
  Peer& peer = peers_[address];
  OrderOutcome outcome = OrderOutcome::kUnknown;
  if (!result.ok()) {
    peer.unreachable = true;
  } else {
    // The companion's response body is the name of the outcome.
    outcome = common::ValueOf(map_coordinator::kOrderOutcomeNames, result->body)
                  .value_or(OrderOutcome::kUnknown);
  }
  if (const auto* prepare =
          std::get_if<map_coordinator::PrepareMap>(&order.body)) {
    if (outcome == OrderOutcome::kAccepted) {
      peer.known_maps.insert(prepare->version);
      std::erase_if(peer.known_maps, [this](uint64_t version) {
        return maps_.Find(version) == nullptr;
      });
    } else if (outcome == OrderOutcome::kRefused) {
      // The companion may have restarted and lost its maps.
      peer.known_maps.clear();
    }
  }
  OnOutcome(order.id, outcome);
}

void GroupCoordinator::OnOutcome(uint64_t order_id, OrderOutcome outcome) {
  map_coordinator_.OnOutcome(order_id, outcome, loop_.Now());
  if (map_coordinator_.fenced()) {
    Stop();
    return;
  }
  if (map_coordinator_.may_hold_group()) {
    SendOrders();
  }
}

void GroupCoordinator::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  map_coordinator_.OnSuperseded();
  loop_.Cancel(timer_);
  // The callback destroys this object, so it is moved out of the member and
  // called from the event loop.
  loop_.Post([alive = alive_, superseded = std::move(on_superseded_)] {
    if (*alive) {
      superseded();
    }
  });
}

}  // namespace wagtailshore::companion
