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
#include "soak/tcp_proxy.h"
#include "support/port_reservation.h"
#include "transport/event_loop/event_loop.h"
#include "transport/http_channel/channel_server.h"
#include "transport/http_channel/endpoint_pool.h"
#include "transport/stream_socket/listener.h"
#include "transport/stream_socket/stream_socket.h"

// A hosted deployment on loopback in one event loop: a fake of the platform's
// store, scripted endpoints, the gateway under test and its callers.
namespace wagtailshore::hosted_world {

// A fake of the platform's store: tables of rows with the operations that a
// gateway uses.
class FakeStore final : public http_channel::RequestHandler {
 public:
  explicit FakeStore(event_loop::EventLoop& loop);

  std::string address() const;
  void SetConfiguration(const nlohmann::json& configuration);
  void SetEndpoint(const std::string& id, const nlohmann::json& entry);
  void RemoveEndpoint(const std::string& id);
  // Answers 503 while set.
  void set_down(bool down) { down_ = down; }
  // Accepts calls and answers none of them while set, nor later.
  void set_silent(bool silent) { silent_ = silent; }
  // Whether answers about rows contain the store's time.
  void set_states_time(bool states) { states_time_ = states; }
  // Loses the feed requests for the table that wait for a change: they are not
  // answered, while all other calls are.
  void LoseFeeds(const std::string& table);
  // While set, feed requests are lost: those that wait, and those that arrive.
  void set_feeds_lost(bool lost);
  // Discards the history: feed requests from before now get 410.
  void ForgetHistory() { history_from_ = revision_; }
  int calls() const { return calls_; }
  // How long a feed request waits for changes at most, whatever it asks for.
  void set_feed_wait(common::Duration wait) { feed_wait_ = wait; }
  // Takes a copy of the contents, and goes back to it: writes since then are
  // lost, revisions are used again, and the era rises.
  void TakeCopy();
  void RestoreCopy();
  uint64_t era() const { return era_; }
  // Number of rows in the table.
  size_t rows(const std::string& table) const;
  // Writes a row of any table, also with a value that is not Base64, removes
  // one, and reads one; empty if it does not exist.
  void SetRow(const std::string& table,
              const std::string& key,
              const std::string& value);
  void SetEncodedRow(const std::string& table,
                     const std::string& key,
                     const std::string& encoded_value);
  void RemoveRow(const std::string& table, const std::string& key);
  std::string ValueOf(const std::string& table, const std::string& key) const;

  void OnRequest(http_channel::CallerChannel& channel,
                 const http1::RequestHead& head,
                 std::string body) override;
  void OnCallerGone(http_channel::CallerChannel& channel) override;

 private:
  struct StoredRow {
    // In Base64, as on the wire.
    std::string value;
    uint64_t revision = 0;
    bool deleted = false;
  };
  // A feed request that waits for a change.
  struct Waiting {
    std::string table;
    uint64_t after_revision = 0;
  };

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Rows changed after `after_revision`; deleted ones only for a feed.
  nlohmann::json RowsOf(const std::string& table,
                        uint64_t after_revision,
                        bool with_deleted) const;
  std::string AnswerWith(const nlohmann::json& rows) const;
  void AnswerFeed(http_channel::CallerChannel& channel);
  // Answers the feed requests that a change has ended.
  void AnswerChanged();
  void OnTransaction(http_channel::CallerChannel& channel,
                     const std::string& body);

  event_loop::EventLoop& loop_;
  http_channel::ChannelLimiter limiter_;
  http_channel::ChannelServer server_;
  void Respond(http_channel::CallerChannel& channel,
               int status,
               std::string_view body) const;

  std::map<http_channel::CallerChannel*, Waiting> waiting_;
  std::map<std::string, std::map<std::string, StoredRow>> tables_;
  uint64_t revision_ = 1;
  // The first revision from which feeds can go on.
  uint64_t history_from_ = 0;
  std::map<std::string, std::map<std::string, StoredRow>> copied_tables_;
  uint64_t copied_revision_ = 1;
  uint64_t era_ = 1;
  bool down_ = false;
  bool silent_ = false;
  bool feeds_lost_ = false;
  bool states_time_ = true;
  common::Duration feed_wait_ = common::milliseconds(100);
  int calls_ = 0;
};

// A request as an endpoint received it.
struct Received {
  http1::RequestHead head;
  std::string body;
};

// An endpoint's reply to a request: the bytes to send, and whether to reset or
// close the connection after them.
struct Reply {
  std::string bytes;
  bool reset = false;
  // Whether to close the connection normally after the bytes.
  bool close = false;
  // Time until the bytes are sent.
  common::Duration delay{};
};

// An endpoint whose replies a test defines byte by byte.
class FakeEndpoint {
 public:
  using Script = std::function<Reply(const Received&)>;

  FakeEndpoint(event_loop::EventLoop& loop, Script script);
  ~FakeEndpoint();

  std::string address() const;
  void set_script(Script script) { script_ = std::move(script); }
  const std::vector<Received>& received() const { return received_; }
  // Number of connections that the peer has closed.
  int closed() const { return closed_; }
  // Ends as a process that crashes does: resets every connection and refuses
  // new ones until Restart(). Must not be called from a script.
  void Crash();
  // Ends without closing its connections, which go silent, and refuses new ones
  // until Restart().
  void GoSilent();
  // Listens again on the same address.
  void Restart();

 private:
  class Connection;

  void Listen(const std::string& address);
  // Stops listening and keeps the address from being taken by others.
  void StopListening();

  event_loop::EventLoop& loop_;
  Script script_;
  std::string address_;
  // Null while the endpoint is down.
  std::unique_ptr<stream_socket::Listener> listener_;
  // Null while the endpoint is up.
  std::unique_ptr<PortReservation> reservation_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<Received> received_;
  int closed_ = 0;
};

// The answer to a request as its caller received it.
struct CallerAnswer {
  // 0 when the connection ended before a response head arrived.
  int status = 0;
  http1::Headers headers;
  std::string body;
  // Whether the response is complete according to its framing.
  bool complete = false;
};

struct CallerRequestOptions {
  std::string path = "/safe/x";
  std::string id = "a1";
  std::string key = "key";
  int time_left_ms = 3000;
  std::string method = "POST";
  std::string body = "hello";
  // Parts of the prompt, as "ID:TOKENS,..."; none if empty.
  std::string prompt_parts;
  // Index of the gateway that the caller connects to.
  int gateway = 0;
};

struct HostedWorldOptions {
  // Endpoints of service "s" with the ids "e0", "e1", ...
  int endpoints = 1;
  int gateways = 1;
  // Endpoints are assigned to the failure domains "z0", "z1", ... in turn. With
  // one, it is "z", which is also the gateways' own.
  int failure_domains = 1;
  common::Duration revocation_bound = common::seconds(5);
  common::Duration endpoint_heartbeat = common::milliseconds(1200);
  // Time between a gateway's stop signal and its kill.
  common::Duration stop_grace = common::seconds(8);
  // Also the time for which gateways' counts of each other are valid.
  common::Duration retry_window = common::seconds(10);
  // How long the store's feed requests wait for changes at most.
  common::Duration feed_wait = common::milliseconds(100);
};

// How an endpoint ends.
enum class EndpointEnd { kCrash, kSilence };

class HostedWorld {
 public:
  explicit HostedWorld(int endpoints,
                       common::Duration revocation_bound = common::seconds(5));
  explicit HostedWorld(const HostedWorldOptions& options);
  ~HostedWorld();

  FakeStore& store() { return *store_; }
  FakeEndpoint& endpoint(int index) { return *endpoints_[index]; }
  gateway::Gateway& gateway(int index = 0) { return *gateways_[index]; }
  // The link between the gateways and the store.
  soak::TcpProxy& store_link() { return *store_link_; }
  // Starts one more gateway.
  void AddGateway();
  // Replaces a gateway by a new process without memory.
  void RestartGateway(int index);
  // Ends an endpoint after the callbacks in progress, unless it has ended
  // already. It restarts after `down_for`, with the same id and a later start
  // time.
  void EndEndpoint(int index,
                   common::Duration down_for,
                   EndpointEnd end = EndpointEnd::kCrash);
  event_loop::EventLoop& loop() { return loop_; }
  // Sets the same script for every endpoint.
  void Script(const FakeEndpoint::Script& script);
  // Number of requests received by all endpoints together.
  size_t arrivals() const;

  // Sends a request and runs the event loop until it has ended.
  CallerAnswer Ask(const CallerRequestOptions& options);
  // Sends the requests at once and runs the event loop until all have ended.
  std::vector<CallerAnswer> AskAll(
      const std::vector<CallerRequestOptions>& requests);
  // Sends requests that may be repeated one after the other for the duration.
  // Returns how many were not answered with 200.
  int CountUnserved(common::Duration duration);
  // Sends a request and closes its connection after `delay`.
  void AskAndDisconnect(const CallerRequestOptions& options,
                        common::Duration delay);
  // Runs the event loop until `condition` holds. Returns false when it does not
  // hold within 20 s.
  bool RunUntil(const std::function<bool()>& condition);
  // Runs the event loop until the time, or for the duration; 20 s at most.
  void RunUntilTime(common::Time time);
  void RunFor(common::Duration duration) {
    RunUntilTime(loop_.Now() + duration);
  }

  // Returns the initial configuration, with the given version.
  static nlohmann::json Configuration(int version);
  // Returns the entry of an endpoint of service "s" in the failure domain "z".
  static nlohmann::json EndpointEntry(const std::string& address,
                                      int64_t born = 1,
                                      const std::string& state = "ready");

 private:
  std::string Format(const CallerRequestOptions& options) const;
  std::unique_ptr<gateway::Gateway> StartGateway(int index);
  // Writes the endpoint's entry, with a later start time than before.
  void ListEndpoint(int index);
  http_channel::EndpointChannel& ConnectTo(int gateway);

  HostedWorldOptions options_;
  event_loop::EventLoop loop_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<soak::TcpProxy> store_link_;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
  // Endpoints that have ended and not restarted yet.
  std::set<int> ended_;
  std::vector<std::unique_ptr<gateway::Gateway>> gateways_;
  // Replaced gateways, which timers of the event loop still refer to.
  std::vector<std::unique_ptr<gateway::Gateway>> retired_;
  int64_t last_start_ms_ = 0;
  int counted_requests_ = 0;
  std::unique_ptr<http_channel::EndpointPool> callers_;
};

// Returns a response with a Content-Length.
Reply Plain(const Received& request, int status, const std::string& body);
// Returns the refusal by which an endpoint states that it did not run the
// request.
Reply Refusal(const Received& request);
// Returns the chunks of events `first` to `last`, without the last chunk.
std::string Events(int first, int last);
// Returns a complete stream of events `first` to `last`.
Reply Stream(const Received& request, int first, int last);
// Returns the stream's head and events, followed by a connection reset.
Reply CutStream(const Received& request, int first, int last);
// Returns the status line and headers, without the empty line that ends them.
std::string HeadOf(const Received& request,
                   int status,
                   const std::string& extra_headers);

}  // namespace wagtailshore::hosted_world

#endif  // SUPPORT_HOSTED_WORLD_H_
