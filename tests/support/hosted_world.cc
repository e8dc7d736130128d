#include "support/hosted_world.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/escaping.h"
#include "common/invariant.h"
#include "common/strings.h"
#include "protocol/http1/serialize.h"

namespace wagtailshore::hosted_world {
namespace {

using nlohmann::json;

constexpr common::Duration kRunTimeout = common::seconds(20);
constexpr const char* kAnyPort = "127.0.0.1:0";

std::string Loopback(uint16_t port) {
  return common::StrCat("127.0.0.1:", port);
}

// The value of a field in a target's query; empty when it has none.
std::string QueryField(std::string_view target, std::string_view name) {
  const size_t at = target.find(common::StrCat(name, "="));
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view value = target.substr(at + name.size() + 1);
  return std::string(value.substr(0, value.find('&')));
}

}  // namespace

FakeStore::FakeStore(event_loop::EventLoop& loop)
    : loop_(loop), limiter_(loop, {}), server_(loop, *this, limiter_) {
  WS_INVARIANT(server_.Listen(kAnyPort).ok());
}

std::string FakeStore::address() const {
  return Loopback(server_.port());
}

void FakeStore::Respond(http_channel::CallerChannel& channel,
                        int status,
                        std::string_view body) const {
  http1::Headers headers;
  headers.Add("Store-Era", common::StrCat(era_));
  channel.Respond(status, headers, body);
}

void FakeStore::TakeCopy() {
  copied_tables_ = tables_;
  copied_revision_ = revision_;
}

void FakeStore::RestoreCopy() {
  tables_ = copied_tables_;
  revision_ = copied_revision_;
  ++era_;
}

void FakeStore::SetConfiguration(const json& configuration) {
  Put("op", "config", absl::Base64Escape(configuration.dump()));
  AnswerChanged();
}

void FakeStore::SetEndpoint(const std::string& id, const json& entry) {
  Put("servers", id, absl::Base64Escape(entry.dump()));
}

void FakeStore::RemoveEndpoint(const std::string& id) {
  Remove("servers", id);
}

size_t FakeStore::rows(const std::string& table) const {
  return RowsOf(table, 0, /*with_deleted=*/false).size();
}

void FakeStore::SetRow(const std::string& table,
                       const std::string& key,
                       const std::string& value) {
  Put(table, key, absl::Base64Escape(value));
  AnswerChanged();
}

void FakeStore::SetEncodedRow(const std::string& table,
                              const std::string& key,
                              const std::string& encoded_value) {
  Put(table, key, encoded_value);
  AnswerChanged();
}

void FakeStore::RemoveRow(const std::string& table, const std::string& key) {
  Remove(table, key);
  AnswerChanged();
}

std::string FakeStore::ValueOf(const std::string& table,
                               const std::string& key) const {
  std::string value;
  const auto found = tables_.find(table);
  if (found != tables_.end() && found->second.contains(key)) {
    absl::Base64Unescape(found->second.at(key).value, &value);
  }
  return value;
}

void FakeStore::Put(const std::string& table,
                    const std::string& key,
                    const std::string& value) {
  tables_[table][key] = {.value = value, .revision = ++revision_};
}

void FakeStore::Remove(const std::string& table, const std::string& key) {
  const auto found = tables_[table].find(key);
  if (found != tables_[table].end()) {
    found->second = {.revision = ++revision_, .deleted = true};
  }
}

json FakeStore::RowsOf(const std::string& table,
                       uint64_t after_revision,
                       bool with_deleted) const {
  json rows = json::array();
  const auto found = tables_.find(table);
  if (found == tables_.end()) {
    return rows;
  }
  for (const auto& [key, row] : found->second) {
    if (row.revision <= after_revision || (row.deleted && !with_deleted)) {
      continue;
    }
    json item = {{"table", table},
                 {"part", ""},
                 {"key", key},
                 {"row_version", row.revision}};
    if (row.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = row.value;
    }
    rows.push_back(std::move(item));
  }
  return rows;
}

std::string FakeStore::AnswerWith(const json& rows) const {
  json answer = {{"rows", rows}, {"row_version", revision_}};
  if (states_time_) {
    // With fractions: without a network the answer takes less than 1 ms.
    answer["now_ms"] = std::chrono::duration<double, std::milli>(
                           loop_.Now().time_since_epoch())
                           .count();
  }
  return answer.dump();
}

void FakeStore::LoseFeeds(const std::string& table) {
  std::erase_if(waiting_,
                [&](const auto& item) { return item.second.table == table; });
}

void FakeStore::set_feeds_lost(bool lost) {
  feeds_lost_ = lost;
  if (lost) {
    waiting_.clear();
  }
}

void FakeStore::AnswerFeed(http_channel::CallerChannel& channel) {
  if (waiting_.erase(&channel) == 0 || silent_) {
    return;
  }
  Respond(channel, down_ ? 503 : 200, AnswerWith(json::array()));
}

void FakeStore::AnswerChanged() {
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto [channel, feed] = *next;
    const json rows =
        RowsOf(feed.table, feed.after_revision, /*with_deleted=*/true);
    if (rows.empty()) {
      ++next;
      continue;
    }
    next = waiting_.erase(next);
    if (!silent_) {
      Respond(*channel, 200, AnswerWith(rows));
    }
  }
}

void FakeStore::OnTransaction(http_channel::CallerChannel& channel,
                              const std::string& body) {
  const json transaction = json::parse(body);
  for (const json& expected : transaction.at("expected_revision")) {
    const auto& table = tables_[expected.at("table")];
    const auto found = table.find(expected.at("key"));
    const uint64_t revision = found == table.end() || found->second.deleted
                                  ? 0
                                  : found->second.revision;
    if (revision != expected.at("row_version").get<uint64_t>()) {
      Respond(channel, 412, AnswerWith(json::array()));
      return;
    }
  }
  for (const json& put : transaction.at("puts")) {
    Put(put.at("table"), put.at("key"), put.at("value"));
  }
  for (const json& removed : transaction.at("remove")) {
    Remove(removed.at("table"), removed.at("key"));
  }
  Respond(channel, 200, AnswerWith(json::array()));
  AnswerChanged();
}

void FakeStore::OnRequest(http_channel::CallerChannel& channel,
                          const http1::RequestHead& head,
                          std::string body) {
  ++calls_;
  if (silent_) {
    return;
  }
  if (down_) {
    Respond(channel, 503, {});
    return;
  }
  if (head.target == "/rows-tx") {
    OnTransaction(channel, body);
    return;
  }
  const std::string table = QueryField(head.target, "table");
  if (!head.target.starts_with("/rows-feed")) {
    Respond(channel, 200, AnswerWith(RowsOf(table, 0, /*with_deleted=*/false)));
    return;
  }
  if (feeds_lost_) {
    return;
  }
  const uint64_t after = std::stoull(QueryField(head.target, "after_revision"));
  if (after > revision_ || after < history_from_) {
    Respond(channel, 410, {});
    return;
  }
  const json rows = RowsOf(table, after, /*with_deleted=*/true);
  if (!rows.empty()) {
    Respond(channel, 200, AnswerWith(rows));
    return;
  }
  waiting_[&channel] = {.table = table, .after_revision = after};
  const common::Duration wait = std::min<common::Duration>(
      feed_wait_,
      common::milliseconds(std::stoll(QueryField(head.target, "wait_ms"))));
  loop_.RunAfter(wait, [this, &channel] { AnswerFeed(channel); });
}

void FakeStore::OnCallerGone(http_channel::CallerChannel& channel) {
  waiting_.erase(&channel);
}

class FakeEndpoint::Connection final : public stream_socket::StreamHandler {
 public:
  Connection(FakeEndpoint& owner, int descriptor)
      : owner_(owner), socket_(owner.loop_, descriptor, *this, {}) {}

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
      Received received{.head = reader_.head(),
                        .body = std::exchange(body_, {})};
      reader_ = http1::RequestReader(http1::ReaderOptions{});
      owner_.received_.push_back(received);
      const Reply reply = owner_.script_(received);
      if (reply.delay > common::Duration::zero()) {
        owner_.loop_.RunAfter(
            reply.delay, [this, bytes = reply.bytes] { socket_.Write(bytes); });
        continue;
      }
      socket_.Write(reply.bytes);
      if (reply.reset) {
        // Gives the bytes time to arrive, because the reset may overtake them.
        owner_.loop_.RunAfter(common::milliseconds(20),
                              [this] { socket_.Close(/*reset=*/true); });
        return;
      }
      if (reply.close) {
        socket_.CloseWhenFlushed();
        return;
      }
    }
  }
  void OnClosed(stream_socket::CloseReason) override { ++owner_.closed_; }
  void Reset() { socket_.Close(/*reset=*/true); }

 private:
  FakeEndpoint& owner_;
  stream_socket::StreamSocket socket_;
  http1::RequestReader reader_{http1::ReaderOptions{}};
  std::string body_;
};

FakeEndpoint::FakeEndpoint(event_loop::EventLoop& loop, Script script)
    : loop_(loop), script_(std::move(script)) {
  Listen(kAnyPort);
}

FakeEndpoint::~FakeEndpoint() = default;

void FakeEndpoint::StopListening() {
  if (listener_ == nullptr) {
    return;
  }
  const uint16_t port = listener_->port();
  listener_.reset();
  reservation_ = std::make_unique<PortReservation>(port);
}

void FakeEndpoint::Listen(const std::string& address) {
  auto listener =
      stream_socket::Listener::Open(loop_, address, [this](int descriptor) {
        connections_.push_back(std::make_unique<Connection>(*this, descriptor));
      });
  WS_INVARIANT(listener.ok()) << "the endpoint's address is free";
  listener_ = *std::move(listener);
  address_ = Loopback(listener_->port());
}

std::string FakeEndpoint::address() const {
  return address_;
}

void FakeEndpoint::Crash() {
  StopListening();
  for (const auto& connection : connections_) {
    connection->Reset();
  }
}

void FakeEndpoint::GoSilent() {
  StopListening();
}

void FakeEndpoint::Restart() {
  reservation_.reset();
  Listen(address_);
}

json HostedWorld::Configuration(int version) {
  const auto route = [](const char* prefix, const char* kind, int attempts) {
    return json{{"name", prefix},           {"host", "h.example"},
                {"prefix", prefix},         {"route_kind", kind},
                {"timeout_ms", 2000},       {"service", "s"},
                {"max_attempts", attempts}, {"stream_resume", true}};
  };
  return {{"version", version},
          {"routes",
           {route("/safe/", "safe", 2), route("/once/", "unsafe", 1),
            route("/stream/", "streaming", 2)}},
          {"services", {{{"name", "s"}}}},
          {"tenants", {{{"name", "c"}, {"api_keys", {"key", "other"}}}}}};
}

json HostedWorld::EndpointEntry(const std::string& address,
                                int64_t born,
                                const std::string& state) {
  return {{"service", "s"}, {"address", address}, {"zone", "z"},
          {"slots", 4},     {"state", state},     {"born", born}};
}

HostedWorld::HostedWorld(int endpoints, common::Duration revocation_bound)
    : HostedWorld(HostedWorldOptions{.endpoints = endpoints,
                                     .revocation_bound = revocation_bound}) {}

HostedWorld::HostedWorld(const HostedWorldOptions& options)
    : options_(options),
      store_(std::make_unique<FakeStore>(loop_)),
      store_link_(std::make_unique<soak::TcpProxy>(loop_, store_->address())) {
  store_->set_feed_wait(options_.feed_wait);
  store_->SetConfiguration(Configuration(1));
  for (int i = 0; i < options_.endpoints; ++i) {
    endpoints_.push_back(std::make_unique<FakeEndpoint>(
        loop_,
        [](const Received& request) { return Plain(request, 200, "ok"); }));
    ListEndpoint(i);
  }
  callers_ = std::make_unique<http_channel::EndpointPool>(
      loop_, stream_socket::StreamOptions{});
  for (int i = 0; i < options_.gateways; ++i) {
    gateways_.push_back(StartGateway(i));
  }
  RunUntil([this] {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [](const auto& gateway) { return gateway->IsReady(); });
  });
}

HostedWorld::~HostedWorld() {
  callers_.reset();
  gateways_.clear();
  retired_.clear();
}

std::unique_ptr<gateway::Gateway> HostedWorld::StartGateway(int index) {
  auto gateway = std::make_unique<gateway::Gateway>(
      loop_,
      serving::HostedSettings{.name = common::StrCat("g", index),
                              .failure_domain = "z",
                              .ip = "127.0.0.1",
                              .caller_address = kAnyPort,
                              .store_address = store_link_->address(),
                              .revocation_bound = options_.revocation_bound,
                              .endpoint_heartbeat = options_.endpoint_heartbeat,
                              .stop_grace = options_.stop_grace,
                              // Each request may be retried, also one alone.
                              .retry_ratio = 2,
                              .retry_window = options_.retry_window});
  WS_INVARIANT(gateway->Start("").ok()) << "the gateway starts";
  return gateway;
}

void HostedWorld::AddGateway() {
  gateways_.push_back(StartGateway(static_cast<int>(gateways_.size())));
  RunUntil([&] { return gateways_.back()->IsReady(); });
}

void HostedWorld::RestartGateway(int index) {
  std::swap(gateways_[index], retired_.emplace_back(StartGateway(index)));
  RunUntil([&] { return gateways_[index]->IsReady(); });
}

void HostedWorld::ListEndpoint(int index) {
  json entry = EndpointEntry(endpoints_[index]->address(), ++last_start_ms_);
  if (options_.failure_domains > 1) {
    entry["zone"] = common::StrCat("z", index % options_.failure_domains);
  }
  store_->SetEndpoint(common::StrCat("e", index), entry);
}

void HostedWorld::EndEndpoint(int index,
                              common::Duration down_for,
                              EndpointEnd end) {
  if (!ended_.insert(index).second) {
    return;
  }
  loop_.Post([this, index, end] {
    if (end == EndpointEnd::kCrash) {
      endpoints_[index]->Crash();
    } else {
      endpoints_[index]->GoSilent();
    }
  });
  loop_.RunAfter(down_for, [this, index] {
    ended_.erase(index);
    endpoints_[index]->Restart();
    ListEndpoint(index);
  });
}

void HostedWorld::Script(const FakeEndpoint::Script& script) {
  for (const auto& endpoint : endpoints_) {
    endpoint->set_script(script);
  }
}

size_t HostedWorld::arrivals() const {
  size_t sum = 0;
  for (const auto& endpoint : endpoints_) {
    sum += endpoint->received().size();
  }
  return sum;
}

bool HostedWorld::RunUntil(const std::function<bool()>& condition) {
  const common::Time end = loop_.Now() + kRunTimeout;
  while (!condition() && loop_.Now() < end) {
    loop_.RunAfter(common::milliseconds(2), [this] { loop_.Stop(); });
    loop_.Run();
  }
  return condition();
}

void HostedWorld::RunUntilTime(common::Time time) {
  RunUntil([&] { return loop_.Now() >= time; });
}

std::string HostedWorld::Format(const CallerRequestOptions& options) const {
  http1::Headers headers;
  headers.Add("Host", "h.example");
  headers.Add("X-Wagtailshore-Attempt-Id", options.id);
  headers.Add("X-Wagtailshore-Deadline-Ms",
              common::StrCat(options.time_left_ms));
  headers.Add("Authorization", common::StrCat("Token ", options.key));
  if (!options.prompt_parts.empty()) {
    headers.Add("X-Wagtailshore-Prompt-Prefix", options.prompt_parts);
  }
  return http1::FormatRequest(options.method, options.path, headers,
                              options.body);
}

namespace {

class AnswerCollector final : public http_channel::ExchangeListener {
 public:
  http_channel::ResponseOrigin OnHead(
      const http1::ResponseHead& head) override {
    answer.status = head.status;
    answer.headers = head.headers;
    return http_channel::ResponseOrigin::kThisExchange;
  }
  void OnBody(std::string_view data) override { answer.body += data; }
  void OnComplete() override {
    answer.complete = true;
    ended = true;
  }
  void OnFailed(const http_channel::ExchangeFailure&) override { ended = true; }

  CallerAnswer answer;
  bool ended = false;
};

}  // namespace

http_channel::EndpointChannel& HostedWorld::ConnectTo(int gateway) {
  const std::string address = Loopback(gateways_[gateway]->caller_port());
  return callers_->Acquire(address, address);
}

CallerAnswer HostedWorld::Ask(const CallerRequestOptions& options) {
  return AskAll({options}).front();
}

std::vector<CallerAnswer> HostedWorld::AskAll(
    const std::vector<CallerRequestOptions>& requests) {
  std::vector<AnswerCollector> collectors(requests.size());
  std::vector<http_channel::EndpointChannel*> channels;
  for (size_t i = 0; i < requests.size(); ++i) {
    channels.push_back(&ConnectTo(requests[i].gateway));
    channels.back()->Send(Format(requests[i]), collectors[i], false);
  }
  RunUntil([&] {
    return std::all_of(
        collectors.begin(), collectors.end(),
        [](const AnswerCollector& collector) { return collector.ended; });
  });
  std::vector<CallerAnswer> answers;
  for (size_t i = 0; i < requests.size(); ++i) {
    if (!collectors[i].ended) {
      channels[i]->Abandon();
    }
    answers.push_back(collectors[i].answer);
  }
  return answers;
}

int HostedWorld::CountUnserved(common::Duration duration) {
  constexpr common::Duration kPause = common::milliseconds(50);
  const common::Time end = loop_.Now() + duration;
  int unserved = 0;
  while (loop_.Now() < end) {
    const std::string id = common::StrCat("counted", ++counted_requests_);
    unserved += Ask({.id = id}).status == 200 ? 0 : 1;
    RunFor(kPause);
  }
  return unserved;
}

void HostedWorld::AskAndDisconnect(const CallerRequestOptions& options,
                                   common::Duration delay) {
  AnswerCollector collector;
  http_channel::EndpointChannel& channel = ConnectTo(options.gateway);
  channel.Send(Format(options), collector, false);
  RunFor(delay);
  if (!collector.ended) {
    channel.Abandon();
  }
}

std::string HeadOf(const Received& request,
                   int status,
                   const std::string& extra_headers) {
  const std::string* id =
      request.head.headers.Find("X-Wagtailshore-Attempt-Id");
  return common::StrCat(
      "HTTP/1.1 ", status, " ", http1::ReasonOf(status),
      "\r\nX-Wagtailshore-Attempt-Id: ", id == nullptr ? "" : *id,
      "\r\nX-Wagtailshore-Server-Seal: seal\r\nKeep-Alive: "
      "timeout=30\r\n",
      extra_headers);
}

Reply Plain(const Received& request, int status, const std::string& body) {
  return {.bytes = common::StrCat(
              HeadOf(request, status,
                     common::StrCat("Content-Length: ", body.size(), "\r\n")),
              "\r\n", body)};
}

Reply Refusal(const Received& request) {
  return {.bytes = common::StrCat(
              HeadOf(request, 503,
                     "X-Wagtailshore-Not-Executed: 1\r\nContent-Length: "
                     "0\r\n"),
              "\r\n")};
}

std::string Events(int first, int last) {
  std::string out;
  for (int id = first; id <= last; ++id) {
    out += http1::FormatChunk(common::StrCat("id: ", id, "\ndata: x\n\n"));
  }
  return out;
}

Reply Stream(const Received& request, int first, int last) {
  return {.bytes = common::StrCat(
              HeadOf(request, 200, "Transfer-Encoding: chunked\r\n"), "\r\n",
              Events(first, last), http1::kLastChunk)};
}

Reply CutStream(const Received& request, int first, int last) {
  return {.bytes = common::StrCat(
              HeadOf(request, 200, "Transfer-Encoding: chunked\r\n"), "\r\n",
              Events(first, last)),
          .reset = true};
}

}  // namespace wagtailshore::hosted_world
