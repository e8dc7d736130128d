#include "support/random_calls.h"

#include "common/strings.h"

namespace wagtailshore::test_support {
namespace {

constexpr int kCustomers = 3;
constexpr int kMaxSubmissions = 4;
constexpr int kMaxTimeoutMs = 12000;

}  // namespace

FaultRates AllFaults() {
  return {.table_request_lost = 0.04,
          .table_answer_lost = 0.06,
          .table_request_delayed = 0.04,
          .message_lost = 0.05,
          .message_duplicated = 0.08,
          .message_delayed = 0.06,
          .attempt_refused = 0.1,
          .service_answer_lost = 0.05};
}

int RandomCalls::Number(int below) {
  return std::uniform_int_distribution<>(0, below - 1)(random_);
}

common::Duration RandomCalls::Milliseconds(int low, int high) {
  return common::milliseconds(low + Number(high - low + 1));
}

void RandomCalls::Run(common::Duration time) {
  const common::Time end = world_.events().now() + time;
  while (world_.events().now() < end) {
    NewRequest();
    if (Number(3) == 0) {
      InjectFault();
    }
    world_.events().RunUntil(world_.events().now() + Milliseconds(10, 300));
  }
  HealAll();
  constexpr common::Duration kSettle = common::seconds(120);
  world_.events().RunUntil(world_.events().now() + kSettle);
  world_.ledger().CheckAllAnswered();
}

void RandomCalls::NewRequest() {
  // Different customers use the same keys.
  const CallKey key{.customer = common::StrCat("customer-", Number(kCustomers)),
                    .key = common::StrCat("key-", next_key_++ / 2)};
  SendAgain(key, 1 + Number(kMaxSubmissions));
}

void RandomCalls::SendAgain(const CallKey& key, int submissions_left) {
  if (submissions_left == 0) {
    return;
  }
  world_.Submit(Number(world_.entries()), key,
                Milliseconds(200, kMaxTimeoutMs));
  // The short wait lets two submissions run concurrently.
  const common::Duration wait =
      Number(2) == 0 ? Milliseconds(0, 100) : Milliseconds(0, 20000);
  world_.events().After(wait, [this, key, submissions_left] {
    SendAgain(key, submissions_left - 1);
  });
}

void RandomCalls::InjectFault() {
  FaultPlan& faults = world_.faults();
  switch (Number(11)) {
    case 0:
      faults.Cut(Number(world_.domains()), Number(world_.domains()));
      break;
    case 1:
      faults.Cut(kPlatform, Number(world_.domains()));
      break;
    case 2:
      faults.set_store_down(Number(2) == 0);
      break;
    case 3:
    case 4:
      faults.Heal();
      faults.set_store_down(false);
      faults.set_store_delay({});
      break;
    case 5:
      faults.set_store_delay(Milliseconds(10, 400));
      break;
    case 6:
      world_.set_service_time(Milliseconds(1, 3000));
      break;
    default:
      InjectProcessFault();
  }
}

void RandomCalls::InjectProcessFault() {
  const int entry = Number(world_.entries());
  const int endpoint = Number(world_.endpoints());
  switch (Number(7)) {
    case 0:
    case 1:
      world_.KillEntry(entry);
      world_.events().After(Milliseconds(50, 5000),
                            [this, entry] { world_.RestartEntry(entry); });
      break;
    case 2:
      world_.PauseEntry(entry, Milliseconds(100, 8000));
      break;
    case 3:
    case 4:
      ReplaceEndpoint(endpoint);
      break;
    case 5:
      world_.PauseEndpoint(endpoint, Milliseconds(100, 40000));
      break;
    default:
      world_.SetDraining(endpoint, Number(2) == 0);
  }
}

void RandomCalls::ReplaceEndpoint(int endpoint) {
  common::Duration restart_after = Milliseconds(50, 5000);
  if (endpoints_ == Endpoints::kDie) {
    world_.KillEndpoint(endpoint);
  } else {
    world_.SetDraining(endpoint, true);
    restart_after += common::seconds(10);
  }
  world_.events().After(restart_after,
                        [this, endpoint] { world_.RestartEndpoint(endpoint); });
}

void RandomCalls::HealAll() {
  world_.faults().Heal();
  world_.faults().set_store_down(false);
  world_.faults().set_store_delay({});
  world_.faults().set_rates({});
  for (int i = 0; i < world_.endpoints(); ++i) {
    world_.RestartEndpoint(i);
  }
  for (int i = 0; i < world_.entries(); ++i) {
    world_.KillEntry(i);
    world_.RestartEntry(i);
  }
}

}  // namespace wagtailshore::test_support
