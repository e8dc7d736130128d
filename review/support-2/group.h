#ifndef REVIEW_SUPPORT_2_GROUP_H_
#define REVIEW_SUPPORT_2_GROUP_H_

#include <algorithm>
#include <optional>
#include <random>
#include <set>

#include "../support-2/stage.h"

namespace wagtailshore::review {

// A group of model servers that run all passes together, as PROTOCOL.md
// describes it: reports, counts of choices, and the orders that change maps.
class Group {
 public:
  struct Options {
    int ranks = 4;
    int sets = 2;
    int experts = 16;
    int placements = 8;
    int spare = 4;
    common::Duration pass = common::milliseconds(20);
    common::Duration copy = common::milliseconds(60);
    // A demand of other experts comes this often.
    common::Duration shift = common::milliseconds(1500);
  };
  // Share of the orders that get no answer and are carried out later, and the
  // range of that time.
  struct AppliedLate {
    double share = 0;
    common::Duration least = common::milliseconds(2000);
    common::Duration most = common::milliseconds(12000);
  };

  using Map = std::vector<std::vector<int>>;  // The experts by set.

  Group(event_loop::EventLoop& loop,
        Record& record,
        Options options,
        uint64_t seed)
      : loop_(loop), record_(record), options_(options), random_(seed) {
    for (int rank = 0; rank < options_.ranks; ++rank) {
      ranks_.push_back(std::make_unique<Rank>());
      Rank& added = *ranks_.back();
      added.map.resize(options_.sets);
      for (int expert = 0; expert < options_.experts; ++expert) {
        if (expert % options_.ranks == rank) {
          for (auto& set : added.map) {
            set.push_back(expert);
          }
        }
      }
      added.counts.resize(options_.sets * options_.experts);
      added.listener = *stream_socket::Listener::Open(
          loop_, "127.0.0.1:0", [this, rank](int descriptor) {
            ranks_[rank]->connections.push_back(
                std::make_unique<Connection>(*this, rank, descriptor));
          });
    }
    ShiftDemand();
    ScheduleShift();
    SchedulePass();
  }

  std::string address(int rank) const {
    return common::StrCat("127.0.0.1:", ranks_[rank]->listener->port());
  }
  json EngineModel() const {
    return {{"slots", 12},
            {"step_ms", 5},
            {"sets", options_.sets},
            {"experts", options_.experts},
            {"placements", options_.placements},
            {"spare", options_.spare},
            {"expert_mb", 1},
            {"expert_share", 0.6},
            {"link_mbps", 1000}};
  }

  AppliedLate applied_late;
  // Share of the answers to GET /report that are written once more, late: where
  // the answer to the next request on the connection is expected.
  double extra_share = 0;
  // Only the first ranks do so.
  int extra_servers = 0;
  bool extra_of_all = false;
  // Whether orders with a lower generation number than one seen are refused.
  bool fences = true;

  // Passes that began while two ranks had different maps.
  int broken() const { return broken_; }
  uint64_t step() const { return step_; }
  int switches() const { return switches_; }
  bool held() const { return HoldOf(step_ + 1) != nullptr; }
  common::Duration held_for() const {
    return held() ? loop_.Now() - last_pass_ : common::Duration::zero();
  }
  int extras() const { return extras_; }
  int late_orders() const { return late_orders_; }
  int orders() const { return orders_; }
  std::function<void(int rank, const json& order, int status)> on_order;

 private:
  struct Armed {
    uint64_t version = 0;
    uint64_t step = 0;
  };
  class Connection;
  struct Rank {
    std::unique_ptr<stream_socket::Listener> listener;
    std::vector<std::unique_ptr<Connection>> connections;
    Map map;
    uint64_t version = 0;
    uint64_t highest_version = 0;
    std::map<uint64_t, Map> maps;
    std::optional<uint64_t> prepared;
    std::optional<uint64_t> copying;
    std::optional<Armed> armed;
    std::optional<uint64_t> held;
    uint64_t fence = 0;
    uint64_t sequence = 0;
    std::vector<uint64_t> counts;
  };

  class Connection final : public stream_socket::StreamHandler {
   public:
    Connection(Group& group, int rank, int descriptor)
        : group_(group),
          rank_(rank),
          socket_(group.loop_, descriptor, *this, {}) {}
    void OnData() override {
      while (!socket_.input().empty()) {
        const auto progress = reader_.Read(socket_.input());
        if (!progress.ok()) {
          socket_.Close(/*reset=*/true);
          return;
        }
        socket_.Consume(progress->consumed);
        body_ += progress->body;
        if (!progress->complete) {
          return;
        }
        const http1::RequestHead head = reader_.head();
        const std::string body = std::exchange(body_, {});
        reader_ = http1::RequestReader(http1::ReaderOptions{});
        // The copy of an earlier answer comes where this one is expected.
        if (!extra_.empty()) {
          ++group_.extras_;
          group_.record_.Add("rank ", rank_, " writes its answer to ",
                             extra_to_, " once more, where the answer to ",
                             head.target, " ", body.substr(0, 90),
                             " is expected");
          socket_.Write(std::exchange(extra_, {}));
        }
        const auto answer = group_.Answer(rank_, head, body);
        if (!answer.has_value()) {
          continue;
        }
        std::string bytes = http1::FormatResponse(
            answer->first, group_.HeadersFor(head), answer->second,
            http1::Persistence::kKeepAlive);
        if ((group_.extra_of_all || head.target == "/report") &&
            rank_ < group_.extra_servers &&
            group_.Happens(group_.extra_share)) {
          extra_ = bytes;
          extra_to_ = head.target;
        }
        socket_.Write(bytes);
      }
    }
    void OnClosed(stream_socket::CloseReason) override {}

   private:
    Group& group_;
    int rank_;
    stream_socket::StreamSocket socket_;
    http1::RequestReader reader_{http1::ReaderOptions{}};
    std::string body_;
    std::string extra_;
    std::string extra_to_;
  };

  static http1::Headers HeadersFor(const http1::RequestHead& head) {
    http1::Headers headers;
    headers.Add("Content-Type", "application/json");
    headers.Add("Keep-Alive", "timeout=30");
    // Servers return the id of a request that has one.
    if (const std::string* id =
            head.headers.Find("X-Wagtailshore-Attempt-Id")) {
      headers.Add("X-Wagtailshore-Attempt-Id", *id);
    }
    return headers;
  }

  bool Happens(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  std::optional<std::pair<int, std::string>>
  Answer(int index, const http1::RequestHead& head, const std::string& body) {
    const Rank& rank = *ranks_[index];
    if (head.target == "/report") {
      return std::pair(200, Report(index).dump());
    }
    if (head.target == "/picked") {
      return std::pair(
          200,
          json{{"step", step_}, {"epoch", 1}, {"counts", rank.counts}}.dump());
    }
    if (head.target.starts_with("/picked?")) {
      json lists = {
          {"step", step_},
          {"epoch", 1},
          {"map", {{"version", rank.version}, {"experts", rank.map}}}};
      if (rank.prepared.has_value()) {
        lists["prepared"] = {{"version", *rank.prepared},
                             {"experts", rank.maps.at(*rank.prepared)}};
      }
      return std::pair(200, lists.dump());
    }
    if (head.target != "/order") {
      return std::pair(404, std::string());
    }
    const json order = json::parse(body);
    ++orders_;
    if (Happens(applied_late.share)) {
      const auto delay = std::chrono::duration_cast<common::Duration>(
          applied_late.least +
          (applied_late.most - applied_late.least) *
              std::uniform_real_distribution<double>(0, 1)(random_));
      ++late_orders_;
      record_.Add("rank ", index, " leaves ", Text(order), " unanswered");
      loop_.RunAfter(delay, [this, index, order] {
        const int status = Execute(index, order);
        record_.Add("rank ", index, " carries out late ", Text(order), ": ",
                    status);
      });
      return std::nullopt;
    }
    const int status = Execute(index, order);
    if (order.at("operation") != "prepare" || status != 202) {
      record_.Add("rank ", index, " ", Text(order), ": ", status);
    }
    if (on_order) {
      on_order(index, order, status);
    }
    return std::pair(status, std::string("{}"));
  }

  static std::string Text(const json& order) {
    json shown = order;
    shown.erase("map");
    return shown.dump();
  }

  json Report(int index) const {
    const Rank& rank = *ranks_[index];
    json report = {
        {"stage", "mixed"},
        {"models",
         {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
        {"busy", rank.copying.has_value()},
        {"sequence", rank.sequence},
        {"queued", 0},
        {"active", 4},
        {"kv_used", 1000},
        {"kv_total", 90000},
        {"kv_handles", 0},
        {"born", 1},
        {"pace", 1.0},
        {"step", step_},
        {"size", options_.ranks},
        {"map", rank.version},
        {"group",
         {{"name", "g"}, {"epoch", 1}, {"rank", index}, {"state", "open"}}}};
    if (rank.prepared.has_value()) {
      report["prepared"] = *rank.prepared;
    }
    if (rank.armed.has_value()) {
      report["armed"] = {{"version", rank.armed->version},
                         {"step", rank.armed->step}};
    }
    if (rank.held.has_value()) {
      report["held"] = *rank.held;
    }
    return report;
  }

  int Execute(int index, const json& order) {
    Rank& rank = *ranks_[index];
    const std::string operation = order.value("operation", "");
    if (order.value("epoch", uint64_t{1}) != 1) {
      return 409;
    }
    const uint64_t token = order.value("fencing_token", uint64_t{0});
    if (fences && token < rank.fence) {
      return 412;
    }
    rank.fence = token;
    const uint64_t version = order.value("version", uint64_t{0});
    const uint64_t step = order.value("step", uint64_t{0});
    if (operation == "prepare") {
      if (rank.prepared == version || rank.copying == version) {
        return 200;
      }
      if (version <= rank.highest_version || rank.armed.has_value()) {
        return 409;
      }
      Map map;
      for (const json& set : order.at("map")) {
        map.push_back(set.at(index).get<std::vector<int>>());
      }
      if (!IsWhole(order.at("map"))) {
        return 409;
      }
      for (int set = 0; set < options_.sets; ++set) {
        int added = 0;
        for (const int expert : map[set]) {
          added += std::find(rank.map[set].begin(), rank.map[set].end(),
                             expert) == rank.map[set].end();
        }
        if (added > options_.spare) {
          return 409;
        }
      }
      ++rank.sequence;
      rank.highest_version = version;
      rank.maps[version] = std::move(map);
      rank.copying = version;
      loop_.RunAfter(options_.copy, [this, index, version] {
        Rank& copied = *ranks_[index];
        if (copied.copying == version) {
          copied.copying.reset();
          copied.prepared = version;
        }
      });
      return 202;
    }
    if (operation == "arm") {
      if (rank.armed.has_value() && rank.armed->version == version &&
          rank.armed->step == step) {
        return 200;
      }
      if (rank.prepared != version || step <= step_) {
        return 409;
      }
      ++rank.sequence;
      rank.armed = Armed{.version = version, .step = step};
      return 200;
    }
    if (operation == "disarm") {
      if (rank.version == version) {
        return 409;
      }
      if (rank.armed.has_value() && rank.armed->version == version) {
        ++rank.sequence;
        rank.armed.reset();
      }
      return 200;
    }
    if (operation == "retention") {
      if (step <= step_) {
        return 409;
      }
      if (rank.held != step) {
        ++rank.sequence;
      }
      rank.held = step;
      return 200;
    }
    if (operation == "go") {
      if (rank.held == step) {
        ++rank.sequence;
        rank.held.reset();
        return 200;
      }
      return step <= step_ ? 200 : 409;
    }
    return 400;
  }

  // Whether each expert is on a rank, and no rank has too many.
  bool IsWhole(const json& map) const {
    for (const json& set : map) {
      std::set<int> held;
      for (const json& rank : set) {
        if (static_cast<int>(rank.size()) > options_.placements) {
          return false;
        }
        for (const json& expert : rank) {
          held.insert(expert.get<int>());
        }
      }
      if (static_cast<int>(held.size()) != options_.experts) {
        return false;
      }
    }
    return static_cast<int>(map.size()) == options_.sets;
  }

  const Rank* HoldOf(uint64_t step) const {
    for (const auto& rank : ranks_) {
      if (rank->held == step) {
        return rank.get();
      }
    }
    return nullptr;
  }

  void SchedulePass() {
    loop_.RunAfter(options_.pass, [this] {
      Pass();
      SchedulePass();
    });
  }

  void Pass() {
    if (HoldOf(step_ + 1) != nullptr) {
      return;
    }
    ++step_;
    last_pass_ = loop_.Now();
    bool switched = false;
    for (const auto& rank : ranks_) {
      if (rank->armed.has_value() && rank->armed->step == step_) {
        rank->version = rank->armed->version;
        rank->map = rank->maps.at(rank->version);
        rank->armed.reset();
        rank->prepared.reset();
        switched = true;
      }
      for (int set = 0; set < options_.sets; ++set) {
        for (int choice = 0; choice < 64; ++choice) {
          ++rank->counts[set * options_.experts + liked_(random_)];
        }
      }
    }
    if (!switched) {
      return;
    }
    ++switches_;
    std::string versions;
    std::set<uint64_t> different;
    for (const auto& rank : ranks_) {
      common::StrAppend(&versions, " ", rank->version);
      different.insert(rank->version);
    }
    if (different.size() > 1) {
      ++broken_;
    }
    record_.Add("pass ", step_,
                " begins; versions of the maps by rank:", versions,
                different.size() > 1 ? " BROKEN" : "");
  }

  void ScheduleShift() {
    loop_.RunAfter(options_.shift, [this] {
      ShiftDemand();
      ScheduleShift();
    });
  }

  void ShiftDemand() {
    std::vector<double> weights(options_.experts, 1);
    for (int i = 0; i < 2; ++i) {
      weights[std::uniform_int_distribution<int>(
          0, options_.experts - 1)(random_)] = 14;
    }
    liked_ = std::discrete_distribution<int>(weights.begin(), weights.end());
  }

  event_loop::EventLoop& loop_;
  Record& record_;
  Options options_;
  std::mt19937_64 random_;
  std::discrete_distribution<int> liked_;
  std::vector<std::unique_ptr<Rank>> ranks_;
  uint64_t step_ = 1;
  common::Time last_pass_{};
  int switches_ = 0;
  int broken_ = 0;
  int extras_ = 0;
  int late_orders_ = 0;
  int orders_ = 0;
};

}  // namespace wagtailshore::review

#endif  // REVIEW_SUPPORT_2_GROUP_H_
