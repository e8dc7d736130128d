// Large unsafe requests arrive while many other large bodies are open. Whatever
// is refused with 503 must not run, and what runs must have its whole body.

#include <atomic>
#include <iostream>
#include <set>

#include "world.h"

namespace {

using namespace review;

// Clients whose bodies stop one byte short of their end and stay open. Together
// they leave a few megabytes of the gateway's memory for clients.
constexpr int kStallers = 420;
constexpr size_t kStalledBytes = 390'000;
// They have stalled for longer than a second when the posts come.
constexpr double kStallSeconds = 1.5;
// Whole unsafe requests, which run for some time at the server.
constexpr int kPosts = 40;
constexpr size_t kLeastPostBytes = 200'000;
constexpr size_t kMorePostBytes = 10'000;
constexpr double kPostSeconds = 0.3;
constexpr double kPostGap = 0.03;
constexpr int kRounds = 8;

std::string Head(const std::string& path, const std::string& id, size_t body) {
  return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\n" +
         "X-Wagtailshore-Attempt-Id: " + id +
         "\r\nX-Wagtailshore-Deadline-Ms: 8000\r\nAuthorization: Token "
         "key\r\n" +
         "Content-Length: " + std::to_string(body) + "\r\n\r\n";
}

// Slots of the site's servers of one service together; the server sheds what
// is beyond.
constexpr int kSlots = 18;

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
      const bool whole = connection.ReadBody(request, /*is_response=*/false);
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
      record.Add("server runs " + id + " " + request.Target() + " body=" +
                 std::to_string(request.body.size()) + (whole ? "" : " cut"));
      if (!whole) {
        return;
      }
      {
        const std::lock_guard<std::mutex> lock(ledger.mutex);
        ledger.runs[id].push_back(request.body.size());
      }
      Sleep(kPostSeconds);
      if (!connection.Send(
              FormatResponse(200,
                             {{"X-Wagtailshore-Attempt-Id", id},
                              {"X-Wagtailshore-Server-Seal", "seal." + id}},
                             "done " + id))) {
        return;
      }
    }
  });
  Store store;
  json config = BaseConfig();
  config["routes"] = {Route("/body/", "safe"), Route("/post/", "unsafe")};
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

  const auto ask = [&](const std::string& path, const std::string& id,
                       size_t bytes) {
    {
      const std::lock_guard<std::mutex> lock(ledger.mutex);
      ledger.sent[id] = bytes;
    }
    const auto connection = Connection::Open(gateway.port);
    Message answer;
    int status = 0;
    if (connection != nullptr &&
        connection->Send(Head(path, id, bytes) + std::string(bytes, 'x')) &&
        connection->ReadHead(answer, 12)) {
      connection->ReadBody(answer, /*is_response=*/true, 12);
      status = answer.Status();
    }
    record.Add("client " + id + " sent=" + std::to_string(bytes) +
               " got=" + std::to_string(status));
    const std::lock_guard<std::mutex> lock(ledger.mutex);
    ledger.answered[id] = status;
  };

  int rounds = 0;
  for (; rounds < kRounds && !gateway.process->ended().has_value(); ++rounds) {
    const std::string round = std::to_string(rounds) + "-";
    std::vector<std::unique_ptr<Connection>> stallers;
    for (int i = 0; i < (Trouble() ? kStallers : 0); ++i) {
      const std::string id = "stall-" + round + std::to_string(i);
      stallers.push_back(Connection::Open(gateway.port));
      if (stallers.back() == nullptr) {
        continue;
      }
      {
        const std::lock_guard<std::mutex> lock(ledger.mutex);
        ledger.sent[id] = kStalledBytes;
      }
      // Keeps to the machine's link of 1,000 Mbit/s. A refused one may close
      // before it has sent everything.
      Sleep(kStalledBytes * 8 / 1e9);
      stallers.back()->Send(Head("/body/x", id, kStalledBytes) +
                            std::string(kStalledBytes - 1, 'x'));
    }
    Sleep(kStallSeconds);
    std::vector<std::thread> posts;
    for (int i = 0; i < kPosts; ++i) {
      posts.emplace_back(
          ask, "/post/x", "post-" + round + std::to_string(i),
          kLeastPostBytes + kMorePostBytes * ((7 * i + 3 * rounds) % 10));
      Sleep(kPostGap);
    }
    for (std::thread& post : posts) {
      post.join();
    }
  }
  // Until the deadline of each request has passed.
  Sleep(9);

  int refused_and_run = 0;
  int changed = 0;
  int twice = 0;
  int refused = 0;
  const std::lock_guard<std::mutex> lock(ledger.mutex);
  for (const auto& [id, status] : ledger.answered) {
    const bool unsafe = id.starts_with("post-");
    refused += unsafe && status == 503;
    if (unsafe && status == 503 && ledger.runs.contains(id)) {
      ++refused_and_run;
      record.Add("BROKEN REFUSED: " + id + " was answered 503 and ran");
    }
  }
  for (const auto& [id, bodies] : ledger.runs) {
    for (const size_t bytes : bodies) {
      if (bytes != ledger.sent[id]) {
        ++changed;
        record.Add("BROKEN UNASKED: " + id + " ran with a body of " +
                   std::to_string(bytes) + " bytes, sent " +
                   std::to_string(ledger.sent[id]));
      }
    }
    if (id.starts_with("post-") && bodies.size() > 1) {
      ++twice;
      record.Add("BROKEN TWICE: " + id);
    }
  }
  const bool alive = !gateway.process->ended().has_value();
  record.Add("rounds=" + std::to_string(rounds) +
             " refused=" + std::to_string(refused) +
             " refused_and_run=" + std::to_string(refused_and_run) +
             " body_changed=" + std::to_string(changed) + " twice=" +
             std::to_string(twice) + " gateway_alive=" + std::to_string(alive));
  if (!alive) {
    record.Add("BROKEN: the gateway ended\n" + gateway.process->LogTail());
  }
  gateway.process.reset();
  const bool broken = refused_and_run + changed + twice > 0 || !alive;
  std::cerr << (broken ? "broken" : "held") << "\n";
  std::_Exit(broken ? kBroken : kHeld);
}
