// A request whose body is complete while one client stalls and the memory for
// clients is used up by requests that run. The gateway must live and go on
// answering ordinary consumers.

#include <atomic>
#include <iostream>
#include <set>

#include "world.h"

namespace {

using namespace review;

// Whole bodies of the largest size, whose requests run for some seconds.
constexpr int kRunning = 41;
constexpr size_t kRunningBytes = 4 << 20;
// The body of the client that stops one byte short of its end, and that of the
// request that arrives beside it.
constexpr size_t kStalledBytes = 3'000'000;
constexpr size_t kPostBytes = 3'000'000;
// Ordinary requests that run meanwhile.
constexpr int kSmall = 48;
constexpr int kEvents = 30;
constexpr double kEventGap = 0.1;
// The time budget of requests, as that of the site's unsafe ones.
constexpr int kBudgetMs = 4000;
constexpr double kRunSeconds = 85;
// Consumers that use kept channels all the while, and the work of their
// requests.
constexpr int kConsumers = 20;
constexpr double kWorkSeconds = 0.3;
// A machine may close so many kept channels without an answer.
constexpr int kMaxLost = 3;

std::string Head(const std::string& path, const std::string& id, size_t body) {
  return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\n" +
         "X-Wagtailshore-Attempt-Id: " + id +
         "\r\nX-Wagtailshore-Deadline-Ms: " + std::to_string(kBudgetMs) +
         "\r\nAuthorization: Token key\r\n" +
         "Content-Length: " + std::to_string(body) + "\r\n\r\n";
}

// Slots of the site's servers of one service together; the server sheds what
// is beyond.
constexpr int kSlots = 144;

class Slot {
 public:
  explicit Slot(std::atomic<int>& running) : running_(running) { ++running_; }
  ~Slot() { --running_; }

 private:
  std::atomic<int>& running_;
};

struct Ledger {
  std::mutex mutex;
  std::map<std::string, size_t> sent;
  std::map<std::string, int> answered;
  // Body sizes of the runs.
  std::map<std::string, std::vector<size_t>> runs;
};

json Route(const std::string& prefix, const std::string& kind) {
  return {{"name", "r" + prefix},
          {"host", "desk.example"},
          {"prefix", prefix},
          {"route_kind", kind},
          {"timeout_ms", 8000},
          {"target_latency_ms", 300},
          {"priority", 1},
          {"service", "desk"},
          {"max_attempts", 1},
          {"public", false},
          {"session_affinity", false},
          {"stream_resume", false}};
}

// Streams events until the time is over.
bool Stream(Connection& connection, const std::string& id) {
  if (!connection.Send("HTTP/1.1 200 OK\r\nX-Wagtailshore-Attempt-Id: " + id +
                       "\r\nX-Wagtailshore-Server-Seal: seal." + id +
                       "\r\nContent-Type: text/event-stream\r\n" +
                       "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int event = 1; event <= kEvents; ++event) {
    const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
    char size[16];
    snprintf(size, sizeof(size), "%zx\r\n", text.size());
    if (!connection.Send(size + text + "\r\n")) {
      return false;
    }
    Sleep(kEventGap);
  }
  return connection.Send("0\r\n\r\n");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return kCouldNotRun;
  }
  Record record(argv[1]);
  Ledger ledger;
  std::atomic<int> running = 0;
  Listener server([&](Connection& connection) {
    Message request;
    while (connection.ReadHead(request)) {
      const std::string id = request.Header("X-Wagtailshore-Attempt-Id");
      if (!connection.ReadBody(request, /*is_response=*/false)) {
        return;
      }
      if (request.Target() == "/healthz") {
        connection.Send(FormatResponse(
            200, {{"X-Wagtailshore-Instance-Id", "i-desk"}}, "ok"));
        continue;
      }
      if (request.Header("X-Wagtailshore-Expect-Instance") != "i-desk") {
        connection.Send(FormatResponse(
            421, {{"X-Wagtailshore-Instance-Id", "i-desk"}}, ""));
        continue;
      }
      const Slot slot(running);
      if (running > kSlots) {
        record.Add("server sheds " + id);
        connection.Send(FormatResponse(503,
                                       {{"X-Wagtailshore-Attempt-Id", id},
                                        {"X-Wagtailshore-Not-Executed", "1"}},
                                       "full"));
        continue;
      }
      record.Add("server runs " + id +
                 " body=" + std::to_string(request.body.size()));
      {
        const std::lock_guard<std::mutex> lock(ledger.mutex);
        ledger.runs[id].push_back(request.body.size());
      }
      const bool stream = request.Target().starts_with("/stream/");
      if (!stream) {
        Sleep(kWorkSeconds);
      }
      const bool kept =
          stream ? Stream(connection, id)
                 : connection.Send(FormatResponse(
                       200,
                       {{"X-Wagtailshore-Attempt-Id", id},
                        {"X-Wagtailshore-Server-Seal", "seal." + id}},
                       "done " + id));
      if (!kept) {
        return;
      }
    }
  });
  Store store;
  json config = BaseConfig();
  config["routes"] = {Route("/stream/", "streaming"),
                      Route("/post/", "unsafe")};
  store.SetConfig(config);
  json entry = ServerEntry("desk", server.address());
  entry["slots"] = kSlots;
  store.SetServer("i-desk", entry);
  Gateway gateway;
  gateway.Start("edge-1", store.address());
  if (!gateway.AwaitReady()) {
    std::cerr << "the gateway does not become ready\n"
              << gateway.process->LogTail();
    return kCouldNotRun;
  }

  const auto note_sent = [&](const std::string& id, size_t bytes) {
    const std::lock_guard<std::mutex> lock(ledger.mutex);
    ledger.sent[id] = bytes;
  };
  const auto await_answer = [&](Connection& connection, const std::string& id) {
    Message answer;
    int status = 0;
    bool whole = false;
    if (connection.ReadHead(answer, 12)) {
      whole = connection.ReadBody(answer, /*is_response=*/true, 12);
      status = answer.Status();
    }
    record.Add("client " + id + " got=" + std::to_string(status) +
               (whole ? "" : " cut"));
    const std::lock_guard<std::mutex> lock(ledger.mutex);
    ledger.answered[id] = whole ? status : 0;
    return whole;
  };
  const auto ask = [&](const std::string& path, const std::string& id,
                       size_t bytes) {
    note_sent(id, bytes);
    const auto connection = Connection::Open(gateway.port);
    if (connection != nullptr) {
      connection->Send(Head(path, id, bytes) + std::string(bytes, 'x'));
      await_answer(*connection, id);
    }
  };

  std::vector<std::thread> threads;
  const auto until =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(kRunSeconds));
  for (int i = 0; i < kConsumers; ++i) {
    threads.emplace_back([&, i] {
      Sleep(0.037 * i);
      const auto channel = Connection::Open(gateway.port);
      for (int n = 0; channel != nullptr && Clock::now() < until; ++n) {
        const std::string id =
            "kept-" + std::to_string(i) + "-" + std::to_string(n);
        note_sent(id, 700);
        if (!channel->Send(Head("/post/x", id, 700) + std::string(700, 'x')) ||
            !await_answer(*channel, id)) {
          return;
        }
      }
    });
  }
  int rounds = 0;
  while (Clock::now() < until && !gateway.process->ended().has_value()) {
    const std::string round = std::to_string(rounds++) + "-";
    std::vector<std::thread> crowd;
    std::unique_ptr<Connection> staller;
    if (Trouble()) {
      staller = Connection::Open(gateway.port);
      note_sent("stall-" + round, kStalledBytes);
      if (staller != nullptr) {
        staller->Send(Head("/stream/x", "stall-" + round, kStalledBytes) +
                      std::string(kStalledBytes - 1, 'x'));
      }
      for (int i = 0; i < kRunning; ++i) {
        crowd.emplace_back(ask, "/stream/x",
                           "large-" + round + std::to_string(i), kRunningBytes);
        // Keeps to the machine's link of 1,000 Mbit/s.
        Sleep(kRunningBytes * 8 / 1e9);
      }
    }
    // The request whose body arrives in two pieces.
    const std::string id = "post-" + round;
    note_sent(id, kPostBytes);
    const auto post = Connection::Open(gateway.port);
    if (post != nullptr) {
      post->Send(Head("/post/x", id, kPostBytes) +
                 std::string(kPostBytes - 1000, 'x'));
      Sleep(0.2);
      if (Trouble()) {
        for (int i = 0; i < kSmall; ++i) {
          crowd.emplace_back(ask, "/stream/x",
                             "small-" + round + std::to_string(i), 700);
        }
      }
      Sleep(0.3);
      post->Send(std::string(1000, 'x'));
      await_answer(*post, id);
    }
    // Until the request's time budget is over.
    Sleep(kBudgetMs / 1000.0 + 0.2);
    for (std::thread& thread : crowd) {
      thread.join();
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }

  const std::lock_guard<std::mutex> lock(ledger.mutex);
  const bool alive = !gateway.process->ended().has_value();
  int lost = 0;
  for (const auto& [id, status] : ledger.answered) {
    lost += status == 0 && id.starts_with("kept-") && ledger.runs.contains(id);
  }
  record.Add("rounds=" + std::to_string(rounds) +
             " gateway_alive=" + std::to_string(alive) +
             " passed_on_and_closed_without_answer=" + std::to_string(lost));
  if (lost > kMaxLost) {
    record.Add("BROKEN LOST: kept channels closed without an answer");
  }
  if (!alive) {
    record.Add("BROKEN: the gateway ended, wait status " +
               std::to_string(*gateway.process->ended()) + "\n" +
               gateway.process->LogTail());
  }
  gateway.process.reset();
  const bool broken = !alive || lost > kMaxLost;
  std::cerr << (broken ? "broken" : "held") << "\n";
  std::_Exit(broken ? kBroken : kHeld);
}
