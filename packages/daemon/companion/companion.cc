#include "daemon/companion/companion.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/http1/status.h"
#include "transport/machine/machine.h"

namespace wagtailshore::companion {
namespace {

// The engine is on the same instance and answers within a few milliseconds.
constexpr common::Duration kEngineTimeout = common::milliseconds(120);
constexpr common::Duration kStoreTimeout = common::seconds(1);
// A coordinator that has not sent anything for this long, several poll periods,
// is assumed to have failed. Each rank waits a little longer than the rank
// before it, so that only one takes over.
constexpr common::Duration kCoordinatorTimeout = common::milliseconds(1200);
constexpr common::Duration kCoordinatorTimeoutPerRank =
    common::milliseconds(150);
constexpr common::Duration kCoordinatorCheckPeriod = common::milliseconds(100);
// Delay after a failed takeover attempt; each attempt costs store calls.
constexpr common::Duration kTakeOverRetryDelay = common::seconds(1);
// How often a companion reads its engine while the group is not open; the
// engine is on the same instance.
constexpr common::Duration kEngineCheckPeriod = common::milliseconds(50);
constexpr common::Duration kRegisterRetryDelay = common::milliseconds(700);
// Range in which companions write their entries again after the store lost
// them: long enough that a large group does not exceed the store's rate.
constexpr int kMaxRegisterSpreadMs = 2000;
constexpr common::Duration kVerifyClaimPeriod = common::seconds(3);

}  // namespace

Companion::Companion(event_loop::EventLoop& loop,
                     serving::HostedSettings settings,
                     CompanionOptions options)
    : loop_(loop),
      settings_(std::move(settings)),
      options_(options),
      pool_(loop, {.connect_timeout = common::milliseconds(200)}),
      caller_(loop,
              pool_,
              {.max_held_bytes = client_budget::CallBytes(
                   machine::LimitsWithin(settings_.memory_bytes,
                                         settings_.max_sockets))}),
      limiter_(loop,
               client_budget::OptionsFor(
                   machine::LimitsWithin(settings_.memory_bytes,
                                         settings_.max_sockets))),
      server_(loop, *this, limiter_),
      last_coordinator_contact_(loop.Now()),
      random_(std::random_device{}()) {
  era_.OnRestored([this] { OnStoreRestored(); });
}

Companion::~Companion() = default;

std::string Companion::peer_address() const {
  return common::StrCat(settings_.ip, ":", settings_.peer_port);
}

absl::Status Companion::Start() {
  absl::Status listening = server_.Listen(peer_address());
  if (!listening.ok()) {
    return listening;
  }
  Register();
  ReadClaimsAtStart();
  loop_.Every(kCoordinatorCheckPeriod, [this] { CheckCoordinator(); });
  loop_.Every(kVerifyClaimPeriod, [this] { VerifyClaim(); });
  return absl::OkStatus();
}

void Companion::Register() {
  const companion_messages::CompanionEntry entry{
      .peer_address = peer_address(),
      .engine_address = settings_.engine_address,
      .service = settings_.engine_service};
  const platform::Row row{.key = settings_.name,
                          .value = companion_messages::EncodeEntry(entry)};
  CallStore(platform::PutRowCall(platform::SystemTable::kCompanions, row),
            [this](const http_channel::CallResult& result) {
              if (!platform::DecodeWriteResult(result).ok()) {
                RegisterAfter(kRegisterRetryDelay);
              }
            });
}

void Companion::ReadClaimsAtStart() {
  CallStore(platform::ReadTableCall(platform::SystemTable::kCoordinators),
            [this](const http_channel::CallResult& result) {
              const auto rows = platform::DecodeRows(result);
              if (!rows.ok()) {
                // The group is taken over after the usual timeout.
                return;
              }
              for (const platform::Row& row : rows->rows) {
                const auto entry =
                    companion_messages::DecodeCoordinator(row.value);
                if (!entry.ok()) {
                  continue;
                }
                claims_at_start_[row.key] = entry->generation;
                // The coordinator was the process that this one replaces.
                resumes_ |= entry->peer_address == peer_address();
              }
            });
}

void Companion::RegisterAfter(common::Duration delay) {
  loop_.Cancel(register_timer_);
  register_timer_ = loop_.RunAfter(delay, [this] {
    register_timer_ = event_loop::kNoTimer;
    Register();
  });
}

void Companion::CallStore(
    const http_channel::Call& call,
    std::function<void(const http_channel::CallResult&)> done) {
  caller_.Start(
      settings_.store_address, call, kStoreTimeout,
      [this, generation = store_generation_,
       done = std::move(done)](const http_channel::CallResult& result) {
        if (era_.Accept(platform::EraOf(result)) &&
            generation == store_generation_) {
          done(result);
        } else {
          done(absl::UnavailableError("the store went back to an older copy"));
        }
      });
}

void Companion::OnStoreRestored() {
  ++store_generation_;
  common::LogEvent(common::EventId::kStoreRestored,
                   common::StrCat("era=", era_.current()));
  std::uniform_int_distribution<int> spread_ms(0, kMaxRegisterSpreadMs);
  RegisterAfter(common::milliseconds(spread_ms(random_)));
}

void Companion::VerifyClaim() {
  if (coordinator_ == nullptr) {
    return;
  }
  CallStore(
      platform::ReadTableCall(platform::SystemTable::kCoordinators),
      [this](const http_channel::CallResult& result) { OnClaimRead(result); });
}

void Companion::OnClaimRead(const http_channel::CallResult& result) {
  const auto rows = platform::DecodeRows(result);
  if (!rows.ok() || coordinator_ == nullptr) {
    return;
  }
  platform::Row claim{.key = claim_key_};
  for (const platform::Row& row : rows->rows) {
    if (row.key != claim_key_) {
      continue;
    }
    claim.revision = row.revision;
    const auto entry = companion_messages::DecodeCoordinator(row.value);
    if (entry.ok() && entry->generation > own_generation_) {
      EndCoordination();
      return;
    }
    if (entry.ok() && entry->generation == own_generation_) {
      return;
    }
  }
  claim.value = companion_messages::EncodeCoordinator(
      {.generation = own_generation_, .peer_address = peer_address()});
  CallStore(
      platform::ReplaceRowCall(platform::SystemTable::kCoordinators, claim),
      [](const http_channel::CallResult& written) {
        const auto status = platform::DecodeWriteResult(written);
        if (!status.ok()) {
          // The next check reads the row again.
          common::LogEvent(
              common::EventId::kPlatformUnavailable,
              common::StrCat("writing=claim error=", status.message()));
        }
      });
}

void Companion::EndCoordination() {
  common::LogEvent(common::EventId::kCoordinatorSuperseded, "");
  coordinator_.reset();
  last_coordinator_contact_ = loop_.Now();
}

void Companion::OnRequest(http_channel::CallerChannel& channel,
                          const http1::RequestHead& head,
                          std::string body) {
  if (head.target == companion_messages::kPollPath) {
    OnPoll(channel, body);
  } else if (head.target == companion_messages::kOrderPath) {
    OnOrder(channel, body);
  } else if (head.target == companion_messages::kSlowEnginesPath) {
    OnSlowEngines(channel);
  } else {
    channel.Respond(http1::kNotFound, {}, {});
  }
}

void Companion::OnSlowEngines(http_channel::CallerChannel& channel) {
  const bool known =
      loop_.Now() - last_coordinator_contact_ < kCoordinatorTimeout;
  channel.Respond(http1::kOk, {},
                  companion_messages::EncodeSlowEngines(
                      known ? slow_engines_ : std::vector<std::string>()));
}

uint64_t Companion::AddPendingRequest(http_channel::CallerChannel& channel) {
  const uint64_t id = next_request_id_++;
  pending_channels_[id] = &channel;
  return id;
}

void Companion::Answer(uint64_t id, int status, std::string_view body) {
  const auto found = pending_channels_.find(id);
  if (found == pending_channels_.end()) {
    return;
  }
  http_channel::CallerChannel* channel = found->second;
  pending_channels_.erase(found);
  channel->Respond(status, {}, body);
}

void Companion::OnCallerGone(http_channel::CallerChannel& channel) {
  std::erase_if(pending_channels_,
                [&](const auto& item) { return item.second == &channel; });
}

void Companion::ReadEngine(
    const http_channel::Call& call,
    std::function<void(const http_channel::CallResult&)> done) {
  caller_.Start(settings_.engine_address, call, kEngineTimeout,
                std::move(done));
}

void Companion::OnPoll(http_channel::CallerChannel& channel,
                       const std::string& body) {
  auto poll = companion_messages::DecodePoll(body);
  if (!poll.ok()) {
    channel.Respond(http1::kBadRequest, {}, {});
    return;
  }
  if (poll->generation < generation_) {
    channel.Respond(kSupersededStatus, {}, {});
    return;
  }
  generation_ = poll->generation;
  resumes_ = false;
  // Whether the coordinator or this companion noticed first that the store went
  // back does not matter: the poll is valid in both cases.
  if (poll->store_era > 0) {
    std::ignore = era_.Accept(poll->store_era);
  }
  last_coordinator_contact_ = loop_.Now();
  slow_engines_ = std::move(poll->slow_engines);
  const uint64_t id = AddPendingRequest(channel);
  PendingPoll& pending = pending_polls_[id];
  pending.reads_left =
      1 + (poll->want_choices ? 1 : 0) + (poll->want_map ? 1 : 0);
  ReadEngine(platform::ReadEngineStateCall(),
             [this, id](const http_channel::CallResult& result) {
               const auto state = platform::DecodeEngineState(result);
               if (state.ok()) {
                 companion_messages::RankState& rank_state =
                     pending_polls_.at(id).state;
                 rank_state.group = state->group;
                 rank_state.rank = state->rank;
                 rank_state.ranks = state->ranks;
                 rank_state.pace = state->pace;
                 rank_state.report = state->report;
                 rank_ = state->rank;
               }
               FinishRead(id, state.ok());
             });
  if (poll->want_choices) {
    ReadEngine(platform::ReadExpertCountsCall(),
               [this, id](const http_channel::CallResult& result) {
                 const auto counters = platform::DecodeExpertCounts(result);
                 if (counters.ok()) {
                   pending_polls_.at(id).state.choices =
                       choices_.Update(*counters);
                 }
                 FinishRead(id, true);
               });
  }
  if (poll->want_map) {
    ReadEngine(platform::ReadExpertsCall(),
               [this, id](const http_channel::CallResult& result) {
                 auto experts = platform::DecodeExperts(result);
                 if (experts.ok()) {
                   pending_polls_.at(id).state.experts = *std::move(experts);
                 }
                 FinishRead(id, true);
               });
  }
}

void Companion::FinishRead(uint64_t poll_id, bool ok) {
  const auto found = pending_polls_.find(poll_id);
  PendingPoll& poll = found->second;
  poll.failed = poll.failed || !ok;
  if (--poll.reads_left > 0) {
    return;
  }
  const PendingPoll finished = std::move(poll);
  pending_polls_.erase(found);
  if (finished.failed) {
    Answer(poll_id, http1::kUnavailable, {});
  } else {
    Answer(poll_id, http1::kOk,
           companion_messages::EncodeRankState(finished.state));
  }
}

void Companion::OnOrder(http_channel::CallerChannel& channel,
                        const std::string& body) {
  const auto name_of = [](map_coordinator::OrderOutcome outcome) {
    return common::NameOf(map_coordinator::kOrderOutcomeNames, outcome);
  };
  const auto order = companion_messages::DecodeOrder(body, maps_);
  if (absl::IsFailedPrecondition(order.status())) {
    // The coordinator sends the complete map in its next attempt.
    channel.Respond(http1::kOk, {},
                    name_of(map_coordinator::OrderOutcome::kRefused));
    return;
  }
  if (!order.ok()) {
    channel.Respond(http1::kBadRequest, {}, {});
    return;
  }
  if (order->generation < generation_) {
    channel.Respond(http1::kOk, {},
                    name_of(map_coordinator::OrderOutcome::kFenced));
    return;
  }
  generation_ = order->generation;
  last_coordinator_contact_ = loop_.Now();
  if (const auto* prepare =
          std::get_if<map_coordinator::PrepareMap>(&order->body)) {
    maps_.Add(prepare->version, prepare->map);
  }
  const uint64_t id = AddPendingRequest(channel);
  SendOrder(id, platform::EngineOrderCall(*order), options_.order_tries);
}

void Companion::SendOrder(uint64_t id,
                          const http_channel::Call& order,
                          int tries) {
  caller_.Start(
      settings_.engine_address, order, options_.order_timeout,
      [this, id, order, tries](const http_channel::CallResult& result) {
        const auto outcome = platform::DecodeOrderOutcome(result);
        const bool caller_waits = pending_channels_.contains(id);
        if (outcome == map_coordinator::OrderOutcome::kUnknown &&
            caller_waits && tries > 1) {
          SendOrder(id, order, tries - 1);
          return;
        }
        Answer(id, http1::kOk,
               common::NameOf(map_coordinator::kOrderOutcomeNames, outcome));
      });
}

void Companion::CheckCoordinator() {
  if (coordinator_ != nullptr || taking_over_) {
    return;
  }
  const common::Duration timeout =
      resumes_ ? common::Duration::zero()
               : kCoordinatorTimeout +
                     kCoordinatorTimeoutPerRank * rank_.value_or(0);
  if (loop_.Now() - last_coordinator_contact_ >= timeout) {
    TakeOver();
  }
}

void Companion::AbortTakeOver(std::string_view why) {
  resumes_ = false;
  common::LogEvent(common::EventId::kCoordinatorNotTaken,
                   common::StrCat("why=", why));
  // The delay lets other companions try first; the random part keeps their
  // attempts from coinciding.
  std::uniform_int_distribution<int> jitter_ms(0, 400);
  loop_.RunAfter(kTakeOverRetryDelay + common::milliseconds(jitter_ms(random_)),
                 [this] { taking_over_ = false; });
}

void Companion::TakeOver() {
  taking_over_ = true;
  ReadEngine(platform::ReadEngineStateCall(),
             [this](const http_channel::CallResult& result) {
               const auto state = platform::DecodeEngineState(result);
               if (!state.ok() || !state->report.open) {
                 AwaitOpenEngine();
                 return;
               }
               OnOwnState(*state);
             });
}

void Companion::AwaitOpenEngine() {
  if (!awaiting_open_engine_) {
    awaiting_open_engine_ = true;
    common::LogEvent(common::EventId::kCoordinatorNotTaken,
                     "why=engine_not_open");
  }
  loop_.RunAfter(kEngineCheckPeriod, [this] { TakeOver(); });
}

void Companion::OnOwnState(const platform::EngineState& state) {
  const bool rank_known = rank_ == state.rank && !awaiting_open_engine_;
  rank_ = state.rank;
  awaiting_open_engine_ = false;
  if (!rank_known && !resumes_) {
    // The timeout depends on the rank: only its per-rank part is left to wait.
    taking_over_ = false;
    last_coordinator_contact_ =
        std::max(last_coordinator_contact_, loop_.Now() - kCoordinatorTimeout);
    return;
  }
  CallStore(platform::ReadConfigurationCall(),
            [this, state](const http_channel::CallResult& result) {
              OnConfiguration(state, result);
            });
}

void Companion::OnConfiguration(const platform::EngineState& state,
                                const http_channel::CallResult& result) {
  const auto rows = platform::DecodeRows(result);
  const platform::Row* row =
      rows.ok() ? platform::FindConfiguration(*rows) : nullptr;
  if (row == nullptr) {
    AbortTakeOver("no_configuration");
    return;
  }
  const auto configuration = platform::DecodeConfiguration(row->value);
  if (!configuration.ok()) {
    AbortTakeOver("configuration_unreadable");
    return;
  }
  for (const serving::Service& service : configuration->services) {
    if (service.name == settings_.engine_service &&
        service.engine.has_value() && service.engine->layers > 0) {
      ReadClaim(state, *service.engine);
      return;
    }
  }
  AbortTakeOver("no_experts_configured");
}

void Companion::ReadClaim(const platform::EngineState& state,
                          const serving::EngineModel& engine) {
  CallStore(
      platform::ReadTableCall(platform::SystemTable::kCoordinators),
      [this, state, engine](const http_channel::CallResult& result) {
        const auto rows = platform::DecodeRows(result);
        if (!rows.ok()) {
          AbortTakeOver("store_unavailable");
          return;
        }
        platform::Row claim{
            .key = common::StrCat(settings_.engine_service, "/", state.group)};
        // The store may have lost the rows of later claims.
        uint64_t generation =
            std::max(generation_, store_era::FirstNumberOf(era_.current()));
        for (const platform::Row& row : rows->rows) {
          if (row.key != claim.key) {
            continue;
          }
          claim.revision = row.revision;
          const auto entry = companion_messages::DecodeCoordinator(row.value);
          if (entry.ok()) {
            if (IsNewClaim(row.key, *entry)) {
              // Its owner has just taken over and will call.
              generation_ = entry->generation;
              last_coordinator_contact_ = loop_.Now();
              AbortTakeOver("claimed_by_another");
              return;
            }
            generation = std::max(generation, entry->generation);
          }
        }
        Claim(state, engine, claim, generation + 1);
      });
}

bool Companion::IsNewClaim(
    const std::string& key,
    const companion_messages::CoordinatorEntry& entry) const {
  const auto at_start = claims_at_start_.find(key);
  const uint64_t known = std::max(
      generation_, at_start == claims_at_start_.end() ? 0 : at_start->second);
  return entry.generation > known && entry.peer_address != peer_address();
}

void Companion::Claim(const platform::EngineState& state,
                      const serving::EngineModel& engine,
                      const platform::Row& row,
                      uint64_t generation) {
  platform::Row claim = row;
  claim.value = companion_messages::EncodeCoordinator(
      {.generation = generation, .peer_address = peer_address()});
  claim_key_ = claim.key;
  CallStore(
      platform::ReplaceRowCall(platform::SystemTable::kCoordinators, claim),
      [this, state, engine,
       generation](const http_channel::CallResult& result) {
        // A write without an answer may have succeeded or may still be applied
        // later. The claim counts as lost, and its fencing number stays unused.
        if (!platform::DecodeWriteResult(result).ok() ||
            generation <= generation_) {
          AbortTakeOver("claim_lost");
          return;
        }
        StartCoordinating(state, engine, generation);
      });
}

void Companion::StartCoordinating(const platform::EngineState& state,
                                  const serving::EngineModel& engine,
                                  uint64_t generation) {
  generation_ = generation;
  own_generation_ = generation;
  taking_over_ = false;
  resumes_ = false;
  common::LogEvent(common::EventId::kCoordinatorTaken,
                   common::StrCat("group=", state.group, " generation=",
                                  generation, " rank=", state.rank));
  coordinator_ = std::make_unique<GroupCoordinator>(
      loop_, caller_, caller_,
      GroupCoordinatorOptions{.group = state.group,
                              .ranks = state.ranks,
                              .own_rank = state.rank,
                              .generation = generation,
                              .engine = engine,
                              .store_address = settings_.store_address,
                              .service = settings_.engine_service},
      era_, [this] { EndCoordination(); });
}

}  // namespace wagtailshore::companion
