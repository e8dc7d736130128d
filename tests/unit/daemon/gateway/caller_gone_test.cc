#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include "common/strings.h"
#include "protocol/http1/serialize.h"
#include "support/hosted_world.h"

namespace wagtailshore::hosted_world {
namespace {

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// An endpoint outside the event loop: what has arrived at it is known at any
// moment.
class RawEndpoint {
 public:
  RawEndpoint() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t length = sizeof(address);
    EXPECT_EQ(
        bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
    EXPECT_EQ(listen(listener_, SOMAXCONN), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
  }
  ~RawEndpoint() {
    for (const Connection& connection : connections_) {
      close(connection.descriptor);
    }
    close(listener_);
  }
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;

  std::string address() const { return common::StrCat("127.0.0.1:", port_); }

  // Bytes that have arrived so far, on all connections together.
  int bytes() {
    while (true) {
      const int connection =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
      if (connection < 0) {
        break;
      }
      connections_.push_back({.descriptor = connection});
    }
    std::array<char, 65536> buffer;
    for (Connection& connection : connections_) {
      ssize_t received = 0;
      while ((received = recv(connection.descriptor, buffer.data(),
                              buffer.size(), 0)) > 0) {
        bytes_ += static_cast<int>(received);
        connection.unanswered = true;
      }
      connection.closed = connection.closed || received == 0 || errno != EAGAIN;
    }
    return bytes_;
  }
  // Connections that the peer has not closed.
  int open_connections() {
    bytes();
    return static_cast<int>(std::count_if(
        connections_.begin(), connections_.end(),
        [](const Connection& connection) { return !connection.closed; }));
  }
  // Answers the requests that have arrived. Returns whether there are any.
  bool Answer(const std::string& response) {
    bytes();
    bool any = false;
    for (Connection& connection : connections_) {
      if (connection.unanswered && !connection.closed) {
        connection.unanswered = false;
        any = true;
        EXPECT_EQ(send(connection.descriptor, response.data(), response.size(),
                       MSG_NOSIGNAL),
                  static_cast<ssize_t>(response.size()));
      }
    }
    return any;
  }

 private:
  struct Connection {
    int descriptor = -1;
    bool closed = false;
    bool unanswered = false;
  };

  int listener_;
  uint16_t port_ = 0;
  std::vector<Connection> connections_;
  int bytes_ = 0;
};

enum class Departure { kClose, kReset };

// A caller outside the event loop, which can leave while the loop is held up.
class RawCaller {
 public:
  explicit RawCaller(uint16_t port)
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = LoopbackAddress(port);
    EXPECT_EQ(connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
  }
  ~RawCaller() { Leave(Departure::kClose); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& bytes) const {
    EXPECT_EQ(send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void Leave(Departure departure) {
    if (descriptor_ < 0) {
      return;
    }
    if (departure == Departure::kReset) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    close(descriptor_);
    descriptor_ = -1;
  }

 private:
  int descriptor_;
};

constexpr int kEndpoints = 2;
constexpr common::Duration kSettle = common::milliseconds(100);

class CallerGoneTest : public testing::Test {
 protected:
  CallerGoneTest() : world_(HostedWorldOptions{.endpoints = 0}) {
    for (int i = 0; i < kEndpoints; ++i) {
      world_.store().SetEndpoint(
          common::StrCat("e", i),
          HostedWorld::EndpointEntry(endpoints_[i].address()));
    }
    // Until the endpoint list has been read.
    world_.RunFor(common::milliseconds(2500));
  }

  // Handles one event that is ready, if any.
  void RunOnce() {
    world_.loop().Post([this] { world_.loop().Stop(); });
    world_.loop().Run();
  }
  int arrived() {
    int sum = 0;
    for (RawEndpoint& endpoint : endpoints_) {
      sum += endpoint.bytes();
    }
    return sum;
  }
  std::string Request(const std::string& path, const std::string& body) {
    http1::Headers headers;
    headers.Add("Host", "h.example");
    headers.Add("X-Wagtailshore-Attempt-Id", common::StrCat("a", ++requests_));
    headers.Add("X-Wagtailshore-Deadline-Ms", "3000");
    headers.Add("Authorization", "Token key");
    return http1::FormatRequest("POST", path, headers, body);
  }
  // A response without a body.
  static std::string Head(int status, const std::string& extra = "") {
    return common::StrCat("HTTP/1.1 ", status,
                          " X\r\nX-Wagtailshore-Server-Seal: s\r\n"
                          "Keep-Alive: timeout=30\r\nContent-Length: 0\r\n",
                          extra, "\r\n");
  }
  std::unique_ptr<RawCaller> Connect() {
    return std::make_unique<RawCaller>(world_.gateway().caller_port());
  }

  HostedWorld world_;
  RawEndpoint endpoints_[kEndpoints];
  int requests_ = 0;
};

struct DepartureCase {
  const char* name;
  Departure departure = Departure::kClose;
  const char* path = "/safe/x";
  size_t body_bytes = 10;
  // Whether the request comes on a connection that was used before.
  bool kept_connection = false;
  // Whether more input follows the request.
  bool more_input = false;
};

class HeldUpLoopTest : public CallerGoneTest,
                       public testing::WithParamInterface<DepartureCase> {};

TEST_P(HeldUpLoopTest, RequestOfACallerThatLeftMeanwhileIsNotSent) {
  const DepartureCase& param = GetParam();
  const auto caller = Connect();
  if (param.kept_connection) {
    // Refused without an endpoint.
    caller->Send(Request("/none/x", ""));
    world_.RunFor(kSettle);
  }
  caller->Send(Request(param.path, std::string(param.body_bytes, 'x')));
  if (param.more_input) {
    caller->Send(Request(param.path, std::string(param.body_bytes, 'y')));
  }
  caller->Leave(param.departure);
  world_.RunFor(kSettle);
  EXPECT_EQ(arrived(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Departures,
    HeldUpLoopTest,
    testing::Values(
        DepartureCase{.name = "Close"},
        DepartureCase{.name = "Reset", .departure = Departure::kReset},
        DepartureCase{.name = "Stream", .path = "/stream/x"},
        DepartureCase{.name = "Unsafe", .path = "/once/x"},
        DepartureCase{.name = "LongBody", .body_bytes = 100000},
        DepartureCase{.name = "KeptConnection", .kept_connection = true},
        DepartureCase{.name = "MoreInput", .more_input = true},
        DepartureCase{.name = "MuchMoreInput",
                      .body_bytes = 60000,
                      .more_input = true}),
    [](const auto& info) { return std::string(info.param.name); });

struct ConnectionCase {
  const char* name;
  // Whether connections to the endpoints are open already.
  bool open = false;
};

class LeavingCallerTest : public CallerGoneTest,
                          public testing::WithParamInterface<ConnectionCase> {
 protected:
  // Opens a connection to each endpoint.
  void OpenConnections() {
    // All in flight at once, so that each endpoint gets some.
    constexpr int kRequests = 8;
    const int idle = arrived();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < kRequests; ++i) {
      callers.push_back(Connect());
      callers.back()->Send(Request("/safe/x", "open"));
    }
    world_.RunFor(kSettle);
    ASSERT_GT(arrived(), idle);
    for (RawEndpoint& endpoint : endpoints_) {
      EXPECT_TRUE(endpoint.Answer(Head(200)));
    }
    world_.RunFor(kSettle);
  }
};

// What is not sent when the caller leaves, after any number of the loop's
// steps, is not sent at all.
TEST_P(LeavingCallerTest, RequestIsNotSentAfterItsCallerHasLeft) {
  constexpr int kMaxSteps = 12;
  for (int steps = 0; steps <= kMaxSteps; ++steps) {
    if (GetParam().open) {
      OpenConnections();
    }
    const auto caller = Connect();
    caller->Send(Request("/safe/x", "body"));
    for (int i = 0; i < steps; ++i) {
      RunOnce();
    }
    const int before = arrived();
    caller->Leave(Departure::kClose);
    world_.RunFor(kSettle);
    EXPECT_EQ(arrived(), before) << steps << " steps";
  }
}

TEST_P(LeavingCallerTest, RequestIsNotRetriedAfterItsCallerHasLeft) {
  for (const std::string& response :
       {Head(503, "X-Wagtailshore-Not-Executed: 1\r\n"), Head(500),
        std::string("garbage\r\n\r\n")}) {
    if (GetParam().open) {
      OpenConnections();
    }
    const int idle = arrived();
    const auto caller = Connect();
    caller->Send(Request("/safe/x", "body"));
    ASSERT_TRUE(world_.RunUntil([&] { return arrived() > idle; }));
    const int before = arrived();
    for (RawEndpoint& endpoint : endpoints_) {
      endpoint.Answer(response);
    }
    caller->Leave(Departure::kClose);
    world_.RunFor(kSettle);
    EXPECT_EQ(arrived(), before) << response;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Connections,
    LeavingCallerTest,
    testing::Values(ConnectionCase{"New"},
                    ConnectionCase{.name = "Open", .open = true}),
    [](const auto& info) { return std::string(info.param.name); });

// Input beyond the limit that nothing reads hides a close.
TEST_F(CallerGoneTest, AttemptEndsThoughTheCallerSentMoreThanIsRead) {
  // More than the gateway reads ahead, by less than the kernel takes.
  constexpr size_t kBytes = (1 << 20) + (32 << 10);
  constexpr size_t kPieceBytes = 8 << 10;
  const auto caller = Connect();
  caller->Send(Request("/safe/x", "body"));
  ASSERT_TRUE(world_.RunUntil([&] { return arrived() > 0; }));
  for (size_t sent = 0; sent < kBytes; sent += kPieceBytes) {
    caller->Send(std::string(kPieceBytes, 'x'));
    world_.RunFor(common::milliseconds(5));
  }
  caller->Leave(Departure::kClose);
  world_.RunFor(common::milliseconds(400));
  EXPECT_EQ(endpoints_[0].open_connections() + endpoints_[1].open_connections(),
            0);
}

}  // namespace
}  // namespace wagtailshore::hosted_world
