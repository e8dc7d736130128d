#ifndef SUPPORT_HOSTED_WORLD_H_
#define SUPPORT_HOSTED_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "daemon/gateway/gateway.h"
#include "protocol/http1/message_reader.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/channel_server.h"
#include "transport/http_channel/endpoint_pool.h"
#include "transport/stream_socket/listener.h"
#include "transport/stream_socket/stream_socket.h"

// A hosted deployment on loopback, all on one event loop: the platform's store,
// scripted endpoints, the gateway under test and its callers.
namespace wagtailshore::hosted_world {

// The store as far as a gateway uses it.
class FakeStore final : public http_channel::RequestHandler {
 public:
  explicit FakeStore(event_loop::EventLoop& loop);

  std::string address() const;
  void SetConfiguration(const nlohmann::json& configuration);
  void SetEndpoint(const std::string& id, const nlohmann::json& entry);
  void RemoveEndpoint(const std::string& id);
  // Answers 503 while set.
  void set_down(bool down) { down_ = down; }
  int calls() const { return calls_; }

  void OnRequest(http_channel::CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string body) override;
  void OnCallerGone(http_channel::CallerChannel& channel) override;

 private:
  std::string RowsOf(const std::string& table) const;
  void AnswerFeed(http_channel::CallerChannel& channel);

  event_loop::EventLoop& loop_;
  http_channel::ChannelServer server_;
  std::set<http_channel::CallerChannel*> waiting_;
  nlohmann::json configuration_;
  std::map<std::string, nlohmann::json> endpoints_;
  uint64_t revision_ = 1;
  bool down_ = false;
  int calls_ = 0;
};

// A request as an endpoint got it.
struct Received {
  http1::RequestHead head;
  std::string body;
};

// What an endpoint does with a request: bytes to send, and whether to reset
// the connection after them.
struct Reply {
  std::string bytes;
  bool reset = false;
  // Ends the connection in order after the bytes.
  bool close = false;
};

// An endpoint whose replies a test scripts, byte by byte.
class FakeEndpoint {
 public:
  using Script = std::function<Reply(const Received&)>;

  FakeEndpoint(event_loop::EventLoop& loop, Script script);
  ~FakeEndpoint();

  std::string address() const;
  void set_script(Script script) { script_ = std::move(script); }
  const std::vector<Received>& received() const { return received_; }
  // Connections that the peer has closed.
  int closed() const { return closed_; }

 private:
  class Connection;

  event_loop::EventLoop& loop_;
  Script script_;
  std::unique_ptr<stream_socket::Listener> listener_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<Received> received_;
  int closed_ = 0;
};

// How a request ended for its caller.
struct CallerAnswer {
  // 0 when the connection ended without an answer's head.
  int status = 0;
  http1::Headers headers;
  std::string body;
  // The answer's framing says that it is whole.
  bool whole = false;
};

struct CallerRequestOptions {
  std::string path = "/safe/x";
  std::string id = "a1";
  std::string key = "key";
  int time_left_ms = 3000;
  std::string method = "POST";
  std::string body = "hello";
};

class HostedWorld {
 public:
  // `endpoints` of service "s", in the order of their ids "e0", "e1", ...
  explicit HostedWorld(int endpoints,
                       common::Duration revocation_bound = common::seconds(5));
  ~HostedWorld();

  FakeStore& store() { return *store_; }
  FakeEndpoint& endpoint(int index) { return *endpoints_[index]; }
  gateway::Gateway& gateway() { return *gateway_; }
  event_loop::EventLoop& loop() { return loop_; }
  // Gives every endpoint the same script.
  void Script(const FakeEndpoint::Script& script);
  // Requests that endpoints have received, in all.
  size_t arrivals() const;

  // Sends a request and runs the world until it has ended.
  CallerAnswer Ask(const CallerRequestOptions& options);
  // Sends a request and closes its connection after `delay`.
  void AskAndLeave(const CallerRequestOptions& options, common::Duration delay);
  // Runs the world until `condition` holds; false when it does not in time.
  bool RunUntil(const std::function<bool()>& condition);

  // The configuration that the world begins with.
  static nlohmann::json Configuration(int version);

 private:
  std::string Format(const CallerRequestOptions& options) const;

  event_loop::EventLoop loop_;
  std::unique_ptr<FakeStore> store_;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
  std::unique_ptr<gateway::Gateway> gateway_;
  std::unique_ptr<http_channel::EndpointPool> callers_;
};

// Replies.
Reply Plain(const Received& request, int status, const std::string& body);
// As the endpoint's own refusal, which promises that nothing ran.
Reply Refusal(const Received& request);
// Events `first` to `last`; with `ends` unset the stream is left open.
std::string Events(int first, int last);
Reply Stream(const Received& request, int first, int last);
// The stream's head and events, then a reset.
Reply CutStream(const Received& request, int first, int last);
std::string HeadOf(const Received& request,
                   int status,
                   const std::string& more_headers);

}  // namespace wagtailshore::hosted_world

#endif  // SUPPORT_HOSTED_WORLD_H_
