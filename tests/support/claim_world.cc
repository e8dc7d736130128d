#include "support/claim_world.h"

#include <set>
#include <utility>

namespace wagtailshore::test_support {
namespace {

constexpr common::Duration kTableTimeout = common::seconds(1);
constexpr common::Duration kConnectTimeout = common::milliseconds(500);
constexpr common::Duration kCallTimeout = common::seconds(10);
constexpr common::Duration kSettleInterval = common::seconds(1);

}  // namespace

struct ClaimWorld::EntryRun {
  int entry;
  size_t submission;
  claims::EntryClaim claim;
  std::set<int> avoid;
};

// One attempt between an entry and an endpoint.
struct ClaimWorld::Exchange {
  std::shared_ptr<EntryRun> run;
  int endpoint = 0;
  bool ended = false;
};

struct ClaimWorld::EndpointRun {
  std::shared_ptr<Exchange> exchange;
  int endpoint = 0;
  size_t submission;
  common::Time deadline;
  claims::EndpointClaim claim;
};

void ClaimWorld::StartSubmission(int entry, size_t submission) {
  const Submission& sent = ledger().submissions()[submission];
  auto run = std::make_shared<EntryRun>(
      EntryRun{.entry = entry,
               .submission = submission,
               .claim = claims::EntryClaim(
                   {.row_key = claims::RowKey(sent.key.customer, sent.key.key),
                    .request_digest = "digest",
                    .deadline = sent.deadline,
                    .max_attempts = max_attempts_,
                    .new_token = [this] { return NewToken(); }}),
               .avoid = {}});
  Step(run, run->claim.Start(now()));
}

void ClaimWorld::Step(const std::shared_ptr<EntryRun>& run,
                      const claims::EntryAction& action) {
  Process& process = entry(run->entry);
  if (const auto* read = std::get_if<table::ReadRow>(&action)) {
    table().Read(process.domain, *read,
                 std::min(kTableTimeout, run->claim.StepTimeout(now())),
                 GuardOutcome<table::ReadOutcome>(
                     process, [this, run](const table::ReadOutcome& outcome) {
                       Step(run, run->claim.OnRead(outcome, now()));
                     }));
  } else if (const auto* write = std::get_if<table::WriteRow>(&action)) {
    table().Write(process.domain, *write,
                  std::min(kTableTimeout, run->claim.StepTimeout(now())),
                  GuardOutcome<table::WriteOutcome>(
                      process, [this, run](const table::WriteOutcome& outcome) {
                        Step(run, run->claim.OnWrite(outcome, now()));
                      }));
  } else if (const auto* send = std::get_if<claims::SendDispatch>(&action)) {
    Dispatch(run, *send);
  } else if (const auto* wait = std::get_if<claims::Wait>(&action)) {
    events().After(wait->duration, Guard(process, [this, run] {
                     Step(run, run->claim.OnWaited(now()));
                   }));
  } else if (const auto* done = std::get_if<claims::CallAnswered>(&action)) {
    ledger().OnComplete(run->submission, done->answer.body, now());
  } else {
    ledger().OnRefused(run->submission,
                       std::get<claims::CallRefused>(action).refusal, now());
  }
}

void ClaimWorld::Dispatch(const std::shared_ptr<EntryRun>& run,
                          const claims::SendDispatch& send) {
  std::vector<int> candidates;
  for (int i = 0; i < endpoints(); ++i) {
    if (!run->avoid.contains(i)) {
      candidates.push_back(i);
    }
  }
  auto exchange = std::make_shared<Exchange>(Exchange{.run = run});
  Process& from = entry(run->entry);
  if (candidates.empty()) {
    events().After(common::milliseconds(1), Guard(from, [this, exchange] {
                     End(exchange, claims::NoEndpoint{});
                   }));
    return;
  }
  exchange->endpoint =
      candidates[faults().Number(static_cast<int>(candidates.size()))];
  Process& to = endpoint(exchange->endpoint);
  if (!to.alive || !faults().Connected(from.domain, to.domain)) {
    events().After(std::min(kConnectTimeout, run->claim.StepTimeout(now())),
                   Guard(from, [this, exchange] {
                     End(exchange, claims::DispatchNotSent{});
                   }));
    return;
  }
  const common::Duration timeout =
      std::min(kCallTimeout, run->claim.StepTimeout(now()));
  events().After(timeout, Guard(from, [this, exchange] {
                   End(exchange, claims::DispatchLost{});
                 }));
  Send(from.domain, to.domain, [this, exchange, &to, send, timeout] {
    // The call goes to the process that has the address on arrival, which may
    // be a later incarnation.
    Guard(to, [this, exchange, send, deadline = now() + timeout] {
      OnDispatch(exchange, send.dispatch, deadline);
    })();
  });
}

void ClaimWorld::OnDispatch(const std::shared_ptr<Exchange>& exchange,
                            const claims::Dispatch& dispatch,
                            common::Time deadline) {
  auto run = std::make_shared<EndpointRun>(EndpointRun{
      .exchange = exchange,
      .endpoint = exchange->endpoint,
      .submission = exchange->run->submission,
      .deadline = deadline,
      .claim = claims::EndpointClaim({.dispatch = dispatch,
                                      .deadline = deadline,
                                      .start_token = NewToken(),
                                      .outcome_token = NewToken()})});
  if (draining(run->endpoint) ||
      faults().Happens(faults().rates().attempt_refused)) {
    Step(run, claims::AttemptNotRun{refusal::Code::kDraining});
    return;
  }
  Step(run, run->claim.Start(now()));
}

void ClaimWorld::Step(const std::shared_ptr<EndpointRun>& run,
                      const claims::EndpointAction& action) {
  Process& process = endpoint(run->endpoint);
  if (const auto* read = std::get_if<table::ReadRow>(&action)) {
    table().Read(process.domain, *read, kTableTimeout,
                 GuardOutcome<table::ReadOutcome>(
                     process, [this, run](const table::ReadOutcome& outcome) {
                       Step(run, run->claim.OnRead(outcome, now()));
                     }));
    return;
  }
  if (const auto* write = std::get_if<table::WriteRow>(&action)) {
    table().Write(process.domain, *write, kTableTimeout,
                  GuardOutcome<table::WriteOutcome>(
                      process, [this, run](const table::WriteOutcome& outcome) {
                        Step(run, run->claim.OnWrite(outcome, now()));
                      }));
    return;
  }
  if (std::holds_alternative<claims::RunService>(action)) {
    CallService(
        run->endpoint, run->submission, run->deadline - now(),
        [this, run](const claims::ServiceAnswer& answer) {
          Step(run, run->claim.OnServiceAnswer(answer));
        },
        [this, run] { Step(run, run->claim.OnServiceAnswerLost()); });
    return;
  }
  if (std::holds_alternative<claims::Settled>(action)) {
    return;
  }
  if (std::holds_alternative<claims::SettleLater>(action)) {
    events().After(kSettleInterval, Guard(process, [this, run] {
                     Step(run, run->claim.Settle());
                   }));
    return;
  }
  Reply(run, action);
  if (run->claim.needs_settling()) {
    Step(run, run->claim.Settle());
  }
}

void ClaimWorld::Reply(const std::shared_ptr<EndpointRun>& run,
                       const claims::EndpointAction& action) {
  Process& process = endpoint(run->endpoint);
  claims::DispatchOutcome outcome = claims::AttemptUnknown{};
  if (const auto* answered = std::get_if<claims::AttemptAnswered>(&action)) {
    outcome = *answered;
  } else if (const auto* refused =
                 std::get_if<claims::AttemptNotRun>(&action)) {
    outcome = *refused;
  }
  Process& to = entry(run->exchange->run->entry);
  const auto reply = Guard(to, [this, exchange = run->exchange, outcome] {
    End(exchange, outcome);
  });
  Send(process.domain, to.domain, reply);
}

void ClaimWorld::End(const std::shared_ptr<Exchange>& exchange,
                     const claims::DispatchOutcome& outcome) {
  if (std::exchange(exchange->ended, true)) {
    return;
  }
  const auto& run = exchange->run;
  if (!std::holds_alternative<claims::AttemptAnswered>(outcome) &&
      !std::holds_alternative<claims::NoEndpoint>(outcome)) {
    run->avoid.insert(exchange->endpoint);
  }
  Step(run, run->claim.OnDispatched(outcome, now()));
}

}  // namespace wagtailshore::test_support
