#include "support/hosted_world.h"

#include <algorithm>
#include <utility>

#include "absl/strings/escaping.h"
#include "common/invariant.h"
#include "common/strings.h"
#include "protocol/http1/serialize.h"

namespace wagtailshore::hosted_world {
namespace {

using nlohmann::json;

constexpr common::Duration kRunTimeout = common::seconds(20);
// How long a feed request waits for changes. With the real store the client
// sets this time.
constexpr common::Duration kFeedWait = common::milliseconds(100);
constexpr const char* kAnyPort = "127.0.0.1:0";

std::string Loopback(uint16_t port) {
  return common::StrCat("127.0.0.1:", port);
}

}  // namespace

FakeStore::FakeStore(event_loop::EventLoop& loop)
    : loop_(loop), server_(loop, *this) {
  WS_INVARIANT(server_.Listen(kAnyPort).ok());
}

std::string FakeStore::address() const {
  return Loopback(server_.port());
}

void FakeStore::SetConfiguration(const json& configuration) {
  configuration_ = configuration;
  ++revision_;
  const auto waiting = std::exchange(waiting_, {});
  for (http_channel::CallerChannel* channel : waiting) {
    channel->Respond(200, {}, RowsOf("op"));
  }
}

void FakeStore::SetEndpoint(const std::string& id, const json& entry) {
  endpoints_[id] = entry;
  ++revision_;
}

void FakeStore::RemoveEndpoint(const std::string& id) {
  endpoints_.erase(id);
  ++revision_;
}

std::string FakeStore::RowsOf(const std::string& table) const {
  json rows = json::array();
  const auto add = [&](const std::string& key, const json& value) {
    rows.push_back({{"table", table},
                    {"part", ""},
                    {"key", key},
                    {"value", absl::Base64Escape(value.dump())},
                    {"row_version", revision_}});
  };
  if (table == "op") {
    add("config", configuration_);
  } else {
    for (const auto& [id, entry] : endpoints_) {
      add(id, entry);
    }
  }
  return json{
      {"rows", rows},
      {"row_version", revision_},
      {"now_ms", common::ToMilliseconds(loop_.Now().time_since_epoch())}}
      .dump();
}

void FakeStore::AnswerFeed(http_channel::CallerChannel& channel) {
  if (waiting_.erase(&channel) == 0) {
    return;
  }
  channel.Respond(
      down_ ? 503 : 200, {},
      json{{"rows", json::array()},
           {"row_version", revision_},
           {"now_ms", common::ToMilliseconds(loop_.Now().time_since_epoch())}}
          .dump());
}

void FakeStore::OnRequest(http_channel::CallerChannel& channel,
                          const http1::RequestHead& head,
                          std::string) {
  ++calls_;
  if (down_) {
    channel.Respond(503, {}, {});
    return;
  }
  const std::string table =
      head.target.find("table=op") != std::string::npos ? "op" : "servers";
  const bool is_feed = head.target.starts_with("/rows-feed");
  const bool is_current =
      head.target.find(common::StrCat("after_revision=", revision_, "&")) !=
      std::string::npos;
  if (is_feed && is_current) {
    waiting_.insert(&channel);
    loop_.RunAfter(kFeedWait, [this, &channel] { AnswerFeed(channel); });
    return;
  }
  channel.Respond(200, {}, RowsOf(table));
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

 private:
  FakeEndpoint& owner_;
  stream_socket::StreamSocket socket_;
  http1::RequestReader reader_{http1::ReaderOptions{}};
  std::string body_;
};

FakeEndpoint::FakeEndpoint(event_loop::EventLoop& loop, Script script)
    : loop_(loop), script_(std::move(script)) {
  listener_ =
      *stream_socket::Listener::Open(loop_, kAnyPort, [this](int descriptor) {
        connections_.push_back(std::make_unique<Connection>(*this, descriptor));
      });
}

FakeEndpoint::~FakeEndpoint() = default;

std::string FakeEndpoint::address() const {
  return Loopback(listener_->port());
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

HostedWorld::HostedWorld(int endpoints, common::Duration revocation_bound) {
  store_ = std::make_unique<FakeStore>(loop_);
  store_->SetConfiguration(Configuration(1));
  for (int i = 0; i < endpoints; ++i) {
    endpoints_.push_back(std::make_unique<FakeEndpoint>(
        loop_,
        [](const Received& request) { return Plain(request, 200, "ok"); }));
    store_->SetEndpoint(common::StrCat("e", i),
                        {{"service", "s"},
                         {"address", endpoints_.back()->address()},
                         {"zone", "z"},
                         {"slots", 4},
                         {"state", "ready"},
                         {"born", i + 1}});
  }
  gateway_ = std::make_unique<gateway::Gateway>(
      loop_, serving::HostedSettings{.name = "g",
                                     .failure_domain = "z",
                                     .ip = "127.0.0.1",
                                     .caller_address = kAnyPort,
                                     .store_address = store_->address(),
                                     .revocation_bound = revocation_bound,
                                     .retry_allowance = 100});
  const absl::Status started = gateway_->Start("");
  if (!started.ok()) {
    std::abort();
  }
  callers_ = std::make_unique<http_channel::EndpointPool>(
      loop_, stream_socket::StreamOptions{});
  RunUntil([this] { return gateway_->IsReady(); });
}

HostedWorld::~HostedWorld() {
  callers_.reset();
  gateway_.reset();
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

std::string HostedWorld::Format(const CallerRequestOptions& options) const {
  http1::Headers headers;
  headers.Add("Host", "h.example");
  headers.Add("X-Wagtailshore-Attempt-Id", options.id);
  headers.Add("X-Wagtailshore-Deadline-Ms",
              common::StrCat(options.time_left_ms));
  headers.Add("Authorization", common::StrCat("Token ", options.key));
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

CallerAnswer HostedWorld::Ask(const CallerRequestOptions& options) {
  AnswerCollector collector;
  http_channel::EndpointChannel& channel = callers_->Acquire(
      "gateway", common::StrCat("127.0.0.1:", gateway_->caller_port()));
  channel.Send(Format(options), collector, false);
  if (!RunUntil([&] { return collector.ended; })) {
    channel.Abandon();
  }
  return collector.answer;
}

void HostedWorld::AskAndDisconnect(const CallerRequestOptions& options,
                                   common::Duration delay) {
  AnswerCollector collector;
  http_channel::EndpointChannel& channel = callers_->Acquire(
      "gateway", common::StrCat("127.0.0.1:", gateway_->caller_port()));
  channel.Send(Format(options), collector, false);
  const common::Time disconnect_at = loop_.Now() + delay;
  RunUntil([&] { return loop_.Now() >= disconnect_at; });
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
