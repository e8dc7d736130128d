#include "support/bucket_world.h"

#include <utility>

#include "common/strings.h"

namespace wagtailshore::test_support {
namespace {

using bucket_leases::BucketOwner;

constexpr common::Duration kTableTimeout = common::seconds(1);
constexpr common::Duration kConnectTimeout = common::milliseconds(500);
constexpr common::Duration kServiceTimeout = common::seconds(10);
constexpr common::Duration kTick = common::seconds(1);

std::string NameOfSubmission(size_t submission) {
  return std::to_string(submission);
}

}  // namespace

struct BucketWorld::EndpointState {
  std::vector<BucketOwner> buckets;
  double clock_rate = 1;
  // The submission whose call the service runs, by key.
  std::map<std::string, size_t> submission_of_key;
};

struct BucketWorld::EntryRun {
  int entry;
  size_t submission;
  std::string key;
  int bucket;
  bucket_leases::EntryCall call;
};

struct BucketWorld::Exchange {
  std::shared_ptr<EntryRun> run;
  std::string owner;
  bool ended = false;
};

BucketWorld::BucketWorld(const BucketWorldOptions& options)
    : CallWorld(options.calls),
      options_(options),
      known_owners_(options.calls.entries) {
  for (int i = 0; i < endpoints(); ++i) {
    endpoint_states_.push_back(nullptr);
    OnEndpointStarted(i);
  }
}

BucketWorld::~BucketWorld() = default;

common::Time BucketWorld::LocalTime(int endpoint) const {
  const auto since = now().time_since_epoch();
  return common::Time(common::Duration(static_cast<common::Duration::rep>(
      static_cast<double>(since.count()) *
      endpoint_states_[endpoint]->clock_rate)));
}

std::string BucketWorld::ProcessName(int number) {
  return common::StrCat("endpoint-", number, "/", endpoint(number).incarnation);
}

void BucketWorld::OnEndpointStarted(int number) {
  auto state = std::make_unique<EndpointState>();
  constexpr int kSteps = 1000;
  const double share =
      static_cast<double>(faults().Number(2 * kSteps + 1) - kSteps) / kSteps;
  state->clock_rate = 1 + share * options_.clock_error;
  for (int i = 0; i < options_.buckets; ++i) {
    const bool preferred = i % endpoints() == number;
    state->buckets.emplace_back(bucket_leases::BucketOwnerOptions{
        .row_key = common::StrCat("bucket/", i),
        .process = ProcessName(number),
        .lease = options_.lease,
        .drift_bound = options_.drift_bound,
        .free_bucket_delay =
            preferred ? common::seconds(0) : common::seconds(10),
        .new_token = [this] { return NewToken(); }});
  }
  endpoint_states_[number] = std::move(state);
  events().After(common::milliseconds(1),
                 Guard(endpoint(number), [this, number] { Tick(number); }));
}

void BucketWorld::Tick(int number) {
  EndpointState& state = *endpoint_states_[number];
  for (int i = 0; i < options_.buckets; ++i) {
    if (draining(number)) {
      state.buckets[i].StartRelease();
    }
    Perform(number, i, state.buckets[i].OnTick(LocalTime(number)));
  }
  Announce(number);
  events().After(kTick,
                 Guard(endpoint(number), [this, number] { Tick(number); }));
}

void BucketWorld::Announce(int number) {
  std::map<int, KnownOwner> owned;
  EndpointState& state = *endpoint_states_[number];
  for (int i = 0; i < options_.buckets; ++i) {
    if (state.buckets[i].Owns(LocalTime(number))) {
      owned[i] = {.endpoint = number,
                  .incarnation = endpoint(number).incarnation,
                  .epoch = state.buckets[i].epoch()};
    }
  }
  for (int i = 0; i < entries(); ++i) {
    Send(endpoint(number).domain, entry(i).domain,
         Guard(entry(i), [this, i, number, owned,
                          incarnation = endpoint(number).incarnation] {
           // Buckets of an earlier incarnation of this endpoint have no owner
           // any more.
           std::erase_if(known_owners_[i], [&](const auto& known) {
             return known.second.endpoint == number &&
                    known.second.incarnation < incarnation;
           });
           for (const auto& [bucket, owner] : owned) {
             KnownOwner& known = known_owners_[i][bucket];
             if (owner.epoch >= known.epoch) {
               known = owner;
             }
           }
         }));
  }
}

void BucketWorld::Perform(int number,
                          int bucket,
                          const bucket_leases::OwnerActions& actions) {
  Process& process = endpoint(number);
  EndpointState& state = *endpoint_states_[number];
  BucketOwner& owner = state.buckets[bucket];
  for (const bucket_leases::OwnerAction& action : actions) {
    if (const auto* read = std::get_if<table::ReadRow>(&action)) {
      table().Read(process.domain, *read, kTableTimeout,
                   GuardOutcome<table::ReadOutcome>(
                       process, [this, number, bucket,
                                 &owner](const table::ReadOutcome& outcome) {
                         Perform(number, bucket,
                                 owner.OnRead(outcome, LocalTime(number)));
                       }));
    } else if (const auto* write = std::get_if<table::WriteRow>(&action)) {
      table().Write(process.domain, *write, kTableTimeout,
                    GuardOutcome<table::WriteOutcome>(
                        process, [this, number, bucket,
                                  &owner](const table::WriteOutcome& outcome) {
                          Perform(number, bucket,
                                  owner.OnWrite(outcome, LocalTime(number)));
                        }));
    } else if (const auto* run = std::get_if<bucket_leases::RunCall>(&action)) {
      const std::string key = run->key;
      CallService(
          number, state.submission_of_key[key], kServiceTimeout,
          [this, number, bucket, &owner,
           key](const claims::ServiceAnswer& answer) {
            Perform(number, bucket, owner.OnServiceAnswer(key, answer));
          },
          [this, number, bucket, &owner, key] {
            Perform(number, bucket, owner.OnServiceAnswerLost(key));
          });
    } else {
      Reply(number, std::get<bucket_leases::Reply>(action));
    }
  }
}

void BucketWorld::Reply(int number, const bucket_leases::Reply& reply) {
  const claims::DispatchOutcome outcome = std::visit(
      [](const auto& value) { return claims::DispatchOutcome(value); },
      reply.outcome);
  const std::string owner = ProcessName(number);
  for (const auto& exchange : exchanges_[reply.request_id]) {
    if (exchange->owner != owner) {
      continue;
    }
    Process& to = entry(exchange->run->entry);
    Send(endpoint(number).domain, to.domain,
         Guard(to, [this, exchange, outcome] { End(exchange, outcome); }));
  }
}

void BucketWorld::StartSubmission(int entry, size_t submission) {
  const Submission& sent = ledger().submissions()[submission];
  const std::string key = claims::RowKey(sent.key.customer, sent.key.key);
  auto run = std::make_shared<EntryRun>(
      EntryRun{.entry = entry,
               .submission = submission,
               .key = key,
               .bucket = bucket_leases::BucketOf(key, options_.buckets),
               .call = bucket_leases::EntryCall(sent.deadline)});
  Step(run, run->call.Start(now()));
}

void BucketWorld::Step(const std::shared_ptr<EntryRun>& run,
                       const bucket_leases::EntryAction& action) {
  if (std::holds_alternative<bucket_leases::SendToOwner>(action)) {
    SendToOwner(run);
  } else if (const auto* wait = std::get_if<claims::Wait>(&action)) {
    events().After(wait->duration, Guard(entry(run->entry), [this, run] {
                     Step(run, run->call.OnWaited(now()));
                   }));
  } else if (const auto* done = std::get_if<claims::CallAnswered>(&action)) {
    ledger().OnComplete(run->submission, done->answer.body, now());
  } else {
    ledger().OnRefused(run->submission,
                       std::get<claims::CallRefused>(action).refusal, now());
  }
}

void BucketWorld::SendToOwner(const std::shared_ptr<EntryRun>& run) {
  Process& from = entry(run->entry);
  const auto& known = known_owners_[run->entry];
  const auto found = known.find(run->bucket);
  const common::Duration timeout = run->call.StepTimeout(now());
  const bool reachable =
      found != known.end() && endpoint(found->second.endpoint).alive &&
      faults().Connected(from.domain, endpoint(found->second.endpoint).domain);
  if (!reachable) {
    events().After(std::min(kConnectTimeout, timeout), Guard(from, [this, run] {
                     Step(run, run->call.OnNotSent(now()));
                   }));
    return;
  }
  const KnownOwner owner = found->second;
  auto exchange = std::make_shared<Exchange>(Exchange{
      .run = run,
      .owner =
          common::StrCat("endpoint-", owner.endpoint, "/", owner.incarnation)});
  exchanges_[NameOfSubmission(run->submission)].push_back(exchange);
  run->call.OnSent(exchange->owner);
  events().After(timeout, Guard(from, [this, exchange] {
                   End(exchange, claims::DispatchLost{});
                 }));
  Process& to = endpoint(owner.endpoint);
  Send(from.domain, to.domain, [this, run, owner, &to] {
    if (to.incarnation != owner.incarnation) {
      // A restarted process rejects the call. The entry treats the rejection
      // like a missing reply.
      return;
    }
    Guard(to, [this, run, owner] {
      EndpointState& state = *endpoint_states_[owner.endpoint];
      BucketOwner& bucket = state.buckets[run->bucket];
      state.submission_of_key[run->key] = run->submission;
      Perform(owner.endpoint, run->bucket,
              bucket.OnCall({.request_id = NameOfSubmission(run->submission),
                             .key = run->key},
                            LocalTime(owner.endpoint)));
    })();
  });
}

void BucketWorld::End(const std::shared_ptr<Exchange>& exchange,
                      const claims::DispatchOutcome& outcome) {
  if (std::exchange(exchange->ended, true)) {
    return;
  }
  const auto& run = exchange->run;
  std::erase(exchanges_[NameOfSubmission(run->submission)], exchange);
  Step(run, run->call.OnReply(exchange->owner, outcome, now()));
}

int BucketWorld::OwnedBy(int number) {
  int owned = 0;
  for (const BucketOwner& bucket : endpoint_states_[number]->buckets) {
    owned += bucket.Owns(LocalTime(number)) ? 1 : 0;
  }
  return owned;
}

int BucketWorld::BarredAt(int number) {
  int barred = 0;
  for (const BucketOwner& bucket : endpoint_states_[number]->buckets) {
    barred += bucket.Owns(LocalTime(number)) && bucket.barred() ? 1 : 0;
  }
  return barred;
}

}  // namespace wagtailshore::test_support
