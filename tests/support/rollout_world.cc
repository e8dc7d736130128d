#include "support/rollout_world.h"

#include <algorithm>
#include <utility>

#include "common/strings.h"

namespace wagtailshore::test_support {
namespace {

using dissemination::Message;
using membership::Role;

constexpr common::Duration kExchangeTimeout = common::milliseconds(400);
constexpr common::Duration kStoreTimeout = common::seconds(1);
constexpr common::Duration kConvergenceBound = common::seconds(3);
constexpr common::Duration kCheckPeriod = common::milliseconds(100);

}  // namespace

RolloutWorld::RolloutWorld(WorldOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      loss_(options_.loss) {
  for (int domain = 0; domain < options_.failure_domains; ++domain) {
    const std::string name = common::StrCat("d", domain);
    for (int i = 0; i < options_.entries_per_domain; ++i) {
      AddProcess(name, Role::kEntry, i);
    }
    for (int i = 0; i < options_.endpoints_per_domain; ++i) {
      AddProcess(name, Role::kEndpoint, i);
    }
    ResetQuietTime(name);
  }
  for (auto& [name, process] : processes_) {
    by_address_[process.address] = &process;
  }
  for (auto& [name, process] : processes_) {
    Start(name);
  }
}

void RolloutWorld::AddProcess(const std::string& failure_domain,
                              Role role,
                              int index) {
  const std::string name =
      common::StrCat(role == Role::kEntry ? "entry" : "endpoint", "-",
                     failure_domain, "-", index);
  Process& process = processes_[name];
  process.name = name;
  process.address = common::StrCat(name, ":7200");
  process.failure_domain = failure_domain;
  process.role = role;
}

void RolloutWorld::Start(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.running) {
    return;
  }
  ++process.incarnation;
  process.running = true;
  process.started = now_;
  process.busy.clear();
  process.in_force.clear();
  process.leaving_view = {};
  process.gate = {};
  process.leaving_since.reset();
  process.last_refused.reset();
  process.version_seen = 0;
  process.member = std::make_unique<dissemination::Member>(
      membership::PeerInfo{
          .name = name,
          .incarnation = common::StrCat(name, "/", process.incarnation),
          .role = process.role,
          .failure_domain = process.failure_domain,
          .peer_address = process.address},
      dissemination::PlannerOptions{.address = process.address,
                                    .failure_domain = process.failure_domain,
                                    .role = process.role,
                                    .direct_limit = options_.direct_limit});
  // Seed addresses, as in the settings: up to four, from the first entries and
  // those of the process's failure domain.
  std::vector<std::string> seeds;
  for (const auto& [other, entry] : processes_) {
    const bool near = entry.failure_domain == process.failure_domain;
    if (entry.role == Role::kEntry && (near || seeds.size() < 2) &&
        seeds.size() < 4) {
      seeds.push_back(entry.address);
    }
  }
  process.member->peers().AddSeeds(seeds);
  std::uniform_int_distribution<int> phase(0, 99);
  AfterFor(process, common::milliseconds(phase(random_)),
           [this, &process] { Tick(process); });
}

void RolloutWorld::Kill(const std::string& name) {
  Process& process = processes_.at(name);
  process.running = false;
  if (process.role == Role::kEntry) {
    last_entry_kill_ = now_;
  }
  ++process.incarnation;
}

void RolloutWorld::Leave(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.running) {
    process.leaving_since = now_;
    process.gate.StartDraining();
    Execute(process, process.member->AnnounceLeaving(now_));
  }
}

void RolloutWorld::Mute(const std::string& name, common::Duration duration) {
  muted_until_[name] = now_ + duration;
}

void RolloutWorld::After(common::Duration delay, std::function<void()> event) {
  events_.emplace(now_ + delay, std::move(event));
}

void RolloutWorld::AfterFor(Process& process,
                            common::Duration delay,
                            std::function<void()> event) {
  After(delay, [&process, incarnation = process.incarnation,
                event = std::move(event)] {
    if (process.incarnation == incarnation) {
      event();
    }
  });
}

void RolloutWorld::AdvanceTo(common::Duration since_start) {
  const common::Time until = kStart + since_start;
  common::Time next_check = now_;
  while (!events_.empty() && events_.begin()->first <= until) {
    now_ = events_.begin()->first;
    const std::function<void()> event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
    if (options_.checks && now_ >= next_check) {
      CheckTimes();
      next_check = now_ + kCheckPeriod;
    }
  }
  now_ = until;
}

void RolloutWorld::Tick(Process& process) {
  Execute(process, process.member->OnTick(now_));
  if (options_.checks && process.role == Role::kEntry) {
    SendWork(process);
  }
  AfterFor(process, dissemination::kTickPeriod,
           [this, &process] { Tick(process); });
}

void RolloutWorld::Execute(Process& process,
                           const dissemination::Effects& effects) {
  CheckProcess(process);
  for (const dissemination::Action& action : effects.actions) {
    if (const auto* send = std::get_if<dissemination::SendExchange>(&action)) {
      Send(process, *send);
    } else {
      ReadPlatform(process);
    }
  }
}

void RolloutWorld::SendWork(Process& entry) {
  for (const auto& digest : entry.member->Digests(now_)) {
    entry.leaving_view.OnDigest(digest.failure_domain,
                                {digest.leaving.begin(), digest.leaving.end()},
                                now_ - digest.age);
  }
  const std::set<std::string> leaving = entry.leaving_view.Leaving(now_);
  for (auto& [name, endpoint] : processes_) {
    if (endpoint.role == Role::kEndpoint && endpoint.running &&
        !leaving.contains(name) && !IsCutApart(entry, endpoint)) {
      SendWorkTo(entry, endpoint);
    }
  }
}

void RolloutWorld::SendWorkTo(const Process& entry, Process& endpoint) {
  const bool begun = endpoint.gate.TryBegin();
  if (begun) {
    endpoint.gate.End();
    endpoint.last_begun = now_;
  }
  if (!endpoint.leaving_since.has_value()) {
    return;
  }
  if (!begun) {
    endpoint.last_refused = now_;
  }
  const bool late = now_ - *endpoint.leaving_since > kConvergenceBound;
  const bool should_know = IsQuiet(endpoint) &&
                           now_ - entry.started > kConvergenceBound &&
                           (entry.failure_domain == endpoint.failure_domain ||
                            RelaysAreSettled(entry, endpoint));
  if (late && (begun || should_know)) {
    RecordViolation(common::StrCat(entry.name, " sent work to ", endpoint.name,
                                   " 3 s after it began to leave"));
  }
}

std::set<std::string> RolloutWorld::ListedAsLeaving() const {
  std::set<std::string> leaving;
  for (const auto& [name, process] : processes_) {
    if (process.leaving_since.has_value() &&
        now_ - *process.leaving_since > options_.list_lag) {
      leaving.insert(name);
    }
  }
  return leaving;
}

bool RolloutWorld::WasMuted(const Process& process,
                            common::Duration within) const {
  const auto muted = muted_until_.find(process.name);
  return muted != muted_until_.end() && now_ - muted->second <= within;
}

bool RolloutWorld::IsQuiet(const Process& endpoint) const {
  return !WasMuted(endpoint, kConvergenceBound) && cut_.empty() &&
         loss_ <= options_.loss &&
         std::all_of(outside_quiet_since_.begin(), outside_quiet_since_.end(),
                     [&](const auto& item) {
                       return now_ - item.second > kConvergenceBound;
                     });
}

bool RolloutWorld::RelaysAreSettled(const Process& entry,
                                    const Process& endpoint) const {
  // Another entry replaces a failed relay after two seconds, and an endpoint
  // that has received no answer for some time sends fewer requests.
  return !WasMuted(endpoint, 2 * kConvergenceBound) &&
         now_ - last_entry_kill_ > 2 * kConvergenceBound &&
         HasEntry(entry.failure_domain) && HasEntry(endpoint.failure_domain);
}

bool RolloutWorld::IsCutApart(const Process& left, const Process& right) const {
  return left.failure_domain != right.failure_domain &&
         (cut_.contains(left.failure_domain) ||
          cut_.contains(right.failure_domain));
}

void RolloutWorld::Send(Process& from,
                        const dissemination::SendExchange& send) {
  const auto found = by_address_.find(send.address);
  // Each peer has at most one request in progress.
  if (found == by_address_.end() || !from.busy.insert(send.address).second) {
    return;
  }
  Process& to = *found->second;
  Message message = from.member->MessageFor(send, now_);
  Count(from, to, message);
  const common::Time sent = now_;
  AfterFor(from, kExchangeTimeout, [&from, address = send.address] {
    if (from.busy.erase(address) > 0) {
      from.member->OnUnanswered(address);
    }
  });
  if (Lost(from, to)) {
    return;
  }
  After(Latency(), [this, &from, &to, incarnation = from.incarnation, sent,
                    message = std::move(message)] {
    if (to.running && from.incarnation == incarnation) {
      Deliver(to, from, message, sent);
    }
  });
}

void RolloutWorld::Deliver(Process& to,
                           Process& from,
                           const Message& request,
                           common::Time sent) {
  to.leaving_view.OnEndpointReport(request.info.name,
                                   request.info.failure_domain,
                                   request.info.leaving, now_);
  Execute(to, to.member->OnRequest(request, now_));
  Message reply = to.member->ReplyTo(request, now_);
  Count(to, from, reply);
  if (Lost(to, from)) {
    return;
  }
  AfterFor(
      from, Latency(),
      [this, &from, address = to.address, sent, reply = std::move(reply)] {
        if (now_ - sent >= kExchangeTimeout || from.busy.erase(address) == 0) {
          return;
        }
        from.leaving_view.OnEndpointReport(reply.info.name,
                                           reply.info.failure_domain,
                                           reply.info.leaving, now_);
        Execute(from, from.member->OnReply(reply, sent, now_));
      });
}

void RolloutWorld::ReadPlatform(Process& process) {
  ++store_reads_;
  if (!ReachesStore(process)) {
    AfterFor(process, kStoreTimeout,
             [&process] { process.member->OnPlatformRead(false); });
    return;
  }
  AfterFor(process, store_delay_, [this, &process] {
    if (!ReachesStore(process)) {
      process.member->OnPlatformRead(false);
      return;
    }
    FinishRead(process, row_.version);
  });
}

void RolloutWorld::FinishRead(Process& process, uint64_t version) {
  process.leaving_view.OnInstanceList(ListedAsLeaving());
  if (version <= process.member->manifests().version()) {
    process.member->OnPlatformRead(true);
    return;
  }
  // The manifest body needs a second read.
  ++store_reads_;
  AfterFor(process, store_delay_, [this, &process, version] {
    const bool answered = ReachesStore(process);
    if (answered) {
      Execute(process,
              process.member->OnPlatformManifest(versions_.at(version), now_));
    }
    process.member->OnPlatformRead(answered);
  });
}

std::shared_ptr<Submit> RolloutWorld::SubmitAt(const std::string& name,
                                               std::optional<uint64_t> base,
                                               const std::string& identity) {
  Process& process = processes_.at(name);
  auto submit = std::make_shared<Submit>(
      Submit{.base_version = base.value_or(row_.version),
             .digest = common::StrCat("digest-", identity),
             .token = identity});
  bodies_[submit->digest] = common::StrCat(identity, options_.padding);
  if (!process.running) {
    return submit;
  }
  auto submission = std::make_shared<rollout::Submission>(
      rollout::SubmissionOptions{.base_version = submit->base_version,
                                 .digest = submit->digest,
                                 .token = submit->token});
  RunSubmit(process, submission, submit, submission->Start());
  return submit;
}

void RolloutWorld::RunSubmit(
    Process& process,
    const std::shared_ptr<rollout::Submission>& submission,
    const std::shared_ptr<Submit>& submit,
    const rollout::SubmissionAction& action) {
  const auto resume = [=, this, &process](const rollout::SubmissionAction& next,
                                          common::Duration delay) {
    AfterFor(process, delay, [=, this, &process] {
      RunSubmit(process, submission, submit, next);
    });
  };
  if (const auto* write = std::get_if<table::WriteRow>(&action)) {
    if (!ReachesStore(process)) {
      resume(submission->OnWrite(table::Unavailable{}), kStoreTimeout);
      return;
    }
    const table::WriteOutcome outcome = Write(*write);
    if (lost_write_answers_ > 0) {
      --lost_write_answers_;
      resume(submission->OnWrite(table::Unavailable{}), kStoreTimeout);
      return;
    }
    resume(submission->OnWrite(outcome), store_delay_);
  } else if (std::holds_alternative<table::ReadRow>(action)) {
    const bool reaches = ReachesStore(process);
    resume(reaches ? submission->OnRead(table::RowRead{row_})
                   : submission->OnRead(table::Unavailable{}),
           reaches ? store_delay_ : kStoreTimeout);
  } else if (const auto* accepted = std::get_if<rollout::Accepted>(&action)) {
    submit->result = SubmitResult::kAccepted;
    submit->version = accepted->version;
    if (tokens_.at(accepted->version) != submit->token) {
      RecordViolation("a submission that lost was reported as accepted");
    }
    // As in production, the entry stores its submitted manifest under this
    // version.
    auto manifest = std::make_shared<rollout::VersionedManifest>(
        *versions_.at(accepted->version));
    manifest->digest = submit->digest;
    Execute(process,
            process.member->OnPlatformManifest(std::move(manifest), now_));
  } else if (const auto* conflict = std::get_if<rollout::Conflict>(&action)) {
    submit->result = SubmitResult::kConflict;
    submit->version = conflict->current_version;
    submit->current_digest = conflict->current_digest;
    if (versions_.at(submit->version)->digest != submit->current_digest) {
      RecordViolation("a conflict reported a wrong current manifest");
    }
  } else {
    submit->result = SubmitResult::kUnknown;
  }
}

table::WriteOutcome RolloutWorld::Write(const table::WriteRow& write) {
  if (row_.version != write.expected_version) {
    return table::WriteConflict{row_};
  }
  row_ = table::RowAfter(write);
  auto manifest = std::make_shared<rollout::VersionedManifest>();
  manifest->manifest.version = row_.version;
  manifest->digest = write.value;
  manifest->body = bodies_.at(write.value);
  for (const auto& [name, process] : processes_) {
    if (process.role == Role::kEndpoint) {
      manifest->manifest.endpoints.push_back(
          {.name = name,
           .failure_domain = process.failure_domain,
           .peer_address = process.address});
    }
  }
  versions_[row_.version] = std::move(manifest);
  accepted_[row_.version] = now_;
  tokens_[row_.version] = write.token;
  return table::RowWritten{row_.version};
}

bool RolloutWorld::ReachesStore(const Process& process) const {
  return !store_down_ && !cut_.contains(process.failure_domain);
}

bool RolloutWorld::Lost(const Process& from, const Process& to) {
  if (IsCutApart(from, to)) {
    return true;
  }
  const auto muted = muted_until_.find(from.name);
  if (muted != muted_until_.end() && now_ < muted->second) {
    return true;
  }
  return std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
}

common::Duration RolloutWorld::Latency() {
  // Usually 1 to 3 ms. A small share takes 20 to 300 ms, so that later messages
  // overtake it.
  std::uniform_int_distribution<int> percent(0, 99);
  std::uniform_int_distribution<int> usual(1, 3);
  std::uniform_int_distribution<int> late(20, 300);
  constexpr int kLatePercent = 2;
  return common::milliseconds(percent(random_) < kLatePercent ? late(random_)
                                                              : usual(random_));
}

void RolloutWorld::SetCut(const std::string& failure_domain, bool cut) {
  if (cut) {
    cut_.insert(failure_domain);
  } else if (cut_.erase(failure_domain) > 0) {
    outside_quiet_since_[failure_domain] = now_;
  }
}

void RolloutWorld::SetStoreDown(bool down) {
  if (store_down_ && !down) {
    for (auto& [failure_domain, since] : outside_quiet_since_) {
      since = now_;
    }
  }
  store_down_ = down;
}

void RolloutWorld::SetLoss(double share) {
  loss_ = std::max(share, options_.loss);
  for (const auto& [failure_domain, since] : inside_quiet_since_) {
    ResetQuietTime(failure_domain);
  }
}

void RolloutWorld::ResetQuietTime(const std::string& failure_domain) {
  inside_quiet_since_[failure_domain] = now_;
  outside_quiet_since_[failure_domain] = now_;
}

void RolloutWorld::Count(Process& from, Process& to, const Message& message) {
  if (wire_size) {
    const size_t bytes = wire_size(message);
    from.bytes_sent += bytes;
    to.bytes_received += bytes;
  }
}

void RolloutWorld::CheckProcess(Process& process) {
  const auto& current = process.member->manifests().current();
  if (current == nullptr) {
    return;
  }
  const uint64_t version = current->manifest.version;
  if (version < process.version_seen) {
    RecordViolation(
        common::StrCat(process.name, " went back to version ", version));
  }
  process.version_seen = version;
  process.in_force.try_emplace(version, now_);
  if (versions_.at(version)->digest != current->digest) {
    RecordViolation(common::StrCat("two manifests are version ", version));
  }
}

void RolloutWorld::CheckTimes() {
  if (loss_ > options_.loss) {
    return;
  }
  for (const auto& [failure_domain, since] : inside_quiet_since_) {
    // Endpoints receive manifests and work through entries of their failure
    // domain.
    if (!HasEntry(failure_domain)) {
      ResetQuietTime(failure_domain);
    }
    CheckDomain(failure_domain);
  }
}

bool RolloutWorld::HasEntry(const std::string& failure_domain) const {
  return std::any_of(processes_.begin(), processes_.end(),
                     [&](const auto& item) {
                       const Process& process = item.second;
                       return process.running && process.role == Role::kEntry &&
                              process.failure_domain == failure_domain;
                     });
}

void RolloutWorld::CheckDomain(const std::string& failure_domain) {
  // The newest version that was accepted, or in force at a process of the
  // failure domain, more than kConvergenceBound ago.
  uint64_t due = 0;
  const bool outside =
      !store_down_ && !cut_.contains(failure_domain) &&
      now_ - outside_quiet_since_[failure_domain] > kConvergenceBound;
  for (const auto& [version, since] : accepted_) {
    if (outside && now_ - since > kConvergenceBound) {
      due = version;
    }
  }
  const bool inside =
      now_ - inside_quiet_since_[failure_domain] > kConvergenceBound;
  for (const auto& [name, process] : processes_) {
    if (!inside || !process.running ||
        process.failure_domain != failure_domain) {
      continue;
    }
    for (const auto& [version, since] : process.in_force) {
      if (now_ - since > kConvergenceBound) {
        due = std::max(due, version);
      }
    }
  }
  for (const auto& [name, process] : processes_) {
    if (process.running && process.failure_domain == failure_domain &&
        !WasMuted(process, kConvergenceBound) &&
        now_ - process.started > kConvergenceBound &&
        process.version_seen < due) {
      RecordViolation(common::StrCat(name, " has version ",
                                     process.version_seen, " and not ", due,
                                     " after 3 s"));
    }
  }
}

void RolloutWorld::RecordViolation(const std::string& what) {
  if (first_violation_.empty()) {
    first_violation_ = common::StrCat(
        "at ", common::ToMilliseconds(now_ - kStart), " ms: ", what);
  }
}

}  // namespace wagtailshore::test_support
