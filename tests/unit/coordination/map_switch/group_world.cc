#include "unit/coordination/map_switch/group_world.h"

#include <algorithm>

#include "common/strings.h"

namespace wagtailshore::map_switch {
namespace {

using common::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kStepTime{5};
constexpr milliseconds kLoadTime{30};
constexpr int kLateDelayFactor = 100;

}  // namespace

GroupSimulation::GroupSimulation(const GroupOptions& options)
    : options_(options),
      random_(options.seed),
      engines_(options.ranks, standins::LockstepEngine(options.checks_fencing)),
      stalled_until_(options.ranks),
      processes_(options.ranks) {
  for (int rank = 0; rank < options_.ranks; ++rank) {
    Start(rank);
  }
  ScheduleAt(now_, [this] { StepEngines(); });
}

void GroupSimulation::AdvanceTo(common::Time until) {
  while (!events_.empty() && events_.begin()->first <= until) {
    auto event = events_.extract(events_.begin());
    now_ = event.key();
    event.mapped()();
  }
  now_ = until;
}

void GroupSimulation::Propose(int rank) {
  const ProcessPtr process = processes_[rank];
  if (process == nullptr || !process->participant.ready() ||
      process->proposer.busy()) {
    return;
  }
  const MapId map{
      .version = process->participant.state().in_force.map.version + 1,
      .digest = common::StrCat("map", next_map_++)};
  const Ballot ballot{.round = process->participant.highest_round() + 1,
                      .rank = rank,
                      .fencing_number = process->fencing_number};
  Execute(process, process->proposer.Propose(ballot, map, now_));
}

void GroupSimulation::Stall(int rank, common::Time until) {
  stalled_until_[rank] = until;
}

void GroupSimulation::Kill(int rank, bool as_zombie) {
  if (as_zombie && processes_[rank] != nullptr) {
    zombies_.push_back(processes_[rank]);
  }
  processes_[rank] = nullptr;
}

void GroupSimulation::Start(int rank) {
  if (processes_[rank] != nullptr) {
    return;
  }
  const uint64_t number = next_fencing_number_++;
  processes_[rank] = std::make_shared<Process>(Process{
      .rank = rank,
      .fencing_number = number,
      .participant = Participant(
          {.rank = rank, .ranks = options_.ranks, .fencing_number = number}),
      .proposer = Proposer({.rank = rank, .ranks = options_.ranks})});
  TickProcess(processes_[rank]);
}

void GroupSimulation::KillZombies() {
  zombies_.clear();
}

void GroupSimulation::CutLink(int a, int b) {
  cut_links_.insert(std::minmax(a, b));
}

void GroupSimulation::RestoreLinks() {
  cut_links_.clear();
}

void GroupSimulation::FailLoads(int rank, bool fail) {
  if (fail) {
    failing_loads_.insert(rank);
  } else {
    failing_loads_.erase(rank);
  }
}

void GroupSimulation::SetWeightStore(bool up) {
  weight_store_up_ = up;
}

uint64_t GroupSimulation::lowest_step() const {
  uint64_t lowest = engines_[0].state().step;
  for (const auto& engine : engines_) {
    lowest = std::min(lowest, engine.state().step);
  }
  return lowest;
}

uint64_t GroupSimulation::lowest_version() const {
  uint64_t lowest = engines_[0].state().in_force.map.version;
  for (const auto& engine : engines_) {
    lowest = std::min(lowest, engine.state().in_force.map.version);
  }
  return lowest;
}

uint64_t GroupSimulation::highest_version() const {
  return version_digests_.empty() ? 0 : version_digests_.rbegin()->first;
}

int GroupSimulation::undecided() const {
  int count = 0;
  for (const auto& engine : engines_) {
    for (const auto& [ballot, hold] : engine.state().holds) {
      count += hold.decided ? 0 : 1;
    }
  }
  return count;
}

std::optional<ProposalResult> GroupSimulation::result(int rank) const {
  return processes_[rank] == nullptr ? std::nullopt
                                     : processes_[rank]->proposer.result();
}

void GroupSimulation::ScheduleAt(common::Time time,
                                 std::function<void()> event) {
  events_.emplace(time, std::move(event));
}

bool GroupSimulation::WithProbabilityPercent(int percent) {
  return std::uniform_int_distribution(0, 99)(random_) < percent;
}

common::Duration GroupSimulation::Delay(const LinkFaults& faults) {
  std::uniform_int_distribution<int64_t> delay(
      1, common::ToMilliseconds(faults.max_delay));
  return milliseconds(delay(random_)) *
         (WithProbabilityPercent(faults.late_percent) ? kLateDelayFactor : 1);
}

void GroupSimulation::Transmit(const LinkFaults& faults,
                               const std::function<void()>& deliver) {
  if (WithProbabilityPercent(faults.lost_percent)) {
    return;
  }
  ScheduleAt(now_ + Delay(faults), deliver);
  if (WithProbabilityPercent(faults.duplicated_percent)) {
    ScheduleAt(now_ + Delay(faults), deliver);
  }
}

bool GroupSimulation::IsRunning(const ProcessPtr& process) const {
  return processes_[process->rank] == process ||
         std::find(zombies_.begin(), zombies_.end(), process) != zombies_.end();
}

void GroupSimulation::TickProcess(const ProcessPtr& process) {
  if (!IsRunning(process)) {
    return;
  }
  Execute(process, process->participant.Tick(now_));
  if (process->participant.ready()) {
    Execute(process, process->proposer.Tick(now_));
  }
  ScheduleAt(now_ + kTick, [this, process] { TickProcess(process); });
}

void GroupSimulation::Execute(const ProcessPtr& process,
                              const Actions& actions) {
  for (const Action& action : actions) {
    if (const auto* message = std::get_if<Message>(&action)) {
      Send(*message);
      continue;
    }
    const Order order = std::get<Order>(action);
    Transmit(engine_faults_, [this, process, order] {
      standins::LockstepEngine& engine = engines_[process->rank];
      const EngineState state = engine.Apply(order);
      if (std::holds_alternative<LoadMap>(order.body)) {
        ScheduleAt(now_ + kLoadTime, [this, rank = process->rank] {
          if (weight_store_up_) {
            engines_[rank].EndLoads(!failing_loads_.contains(rank));
          }
        });
      }
      // Orders of a dead process still arrive, but it gets no answers.
      Transmit(engine_faults_, [this, process, id = order.id, state] {
        if (IsRunning(process)) {
          Execute(process, process->participant.OnEngineState(id, state, now_));
        }
      });
    });
  }
}

void GroupSimulation::Execute(const ProcessPtr& process,
                              const std::vector<Outgoing>& messages) {
  for (const Outgoing& message : messages) {
    Send(process->participant.MakeMessage(message.to, message.body));
  }
}

void GroupSimulation::Send(const Message& message) {
  if (message.from == message.to) {
    ScheduleAt(now_, [this, message] { Deliver(message); });
    return;
  }
  if (cut_links_.contains(std::minmax(message.from, message.to))) {
    return;
  }
  Transmit(peer_faults_, [this, message] { Deliver(message); });
}

void GroupSimulation::Deliver(const Message& message) {
  std::vector<ProcessPtr> receivers = zombies_;
  receivers.push_back(processes_[message.to]);
  for (const ProcessPtr& process : receivers) {
    if (process == nullptr || process->rank != message.to) {
      continue;
    }
    Execute(process, process->participant.OnMessage(message, now_));
    if (process->participant.ready()) {
      Execute(process, process->proposer.OnMessage(message, now_));
    }
  }
}

void GroupSimulation::StepEngines() {
  const uint64_t step = lowest_step();
  for (int rank = 0; rank < options_.ranks; ++rank) {
    standins::LockstepEngine& engine = engines_[rank];
    // No rank starts a step before all ranks have started the previous one.
    if (engine.state().step == step && !engine.held() &&
        stalled_until_[rank] <= now_) {
      CheckStep(step, engine.StartStep());
    }
  }
  step_maps_.erase(step_maps_.begin(), step_maps_.lower_bound(lowest_step()));
  ScheduleAt(now_ + kStepTime, [this] { StepEngines(); });
}

void GroupSimulation::CheckStep(uint64_t step, const MapId& map) {
  const auto [used, first_of_step] = step_maps_.emplace(step, map);
  if (used->second != map && violation_.empty()) {
    violation_ = common::StrCat("step ", step, " uses maps ",
                                used->second.digest, " and ", map.digest);
  }
  const auto [known, first_of_version] =
      version_digests_.emplace(map.version, map.digest);
  if (known->second != map.digest && violation_.empty()) {
    violation_ = common::StrCat("version ", map.version, " is both ",
                                known->second, " and ", map.digest);
  }
}

}  // namespace wagtailshore::map_switch
