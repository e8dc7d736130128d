#include "transport/http_server/http_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "support/test_address.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::http_server {
namespace {

constexpr int kPort = 17301;
constexpr common::Duration kTimeout = common::seconds(10);

std::string Url(const std::string& path) {
  return "http://" + test_support::TestAddress(kPort) + path;
}

http_client::Reply MustCall(http_client::Request request) {
  auto outcome = http_client::Call(std::move(request), kTimeout);
  const auto* failure = std::get_if<http_client::CallFailure>(&outcome);
  EXPECT_EQ(failure, nullptr) << failure->reason;
  return failure == nullptr ? std::get<http_client::Reply>(outcome)
                            : http_client::Reply();
}

Response Echo(const Request& request) {
  return FullResponse{.body = request.method + " " + request.path + " " +
                              request.body};
}

std::unique_ptr<Server> MustStart(ServerOptions options, Handler handler) {
  options.address = test_support::TestAddress(kPort);
  auto server = Server::Start(std::move(options), std::move(handler));
  EXPECT_TRUE(server.ok()) << server.status();
  return server.ok() ? *std::move(server) : nullptr;
}

// A TCP connection for sending partial requests.
class RawConnection {
 public:
  RawConnection() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    const std::string address = test_support::TestAddress(kPort);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(kPort);
    inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(),
              &to.sin_addr);
    EXPECT_EQ(
        connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)),
        0);
  }
  ~RawConnection() { close(socket_); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool Write(std::string_view bytes) const {
    return send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  // Returns everything received until the server closes the connection.
  std::string ReadToEnd() const {
    std::string received;
    char buffer[1024];
    ssize_t size = 0;
    while ((size = recv(socket_, buffer, sizeof(buffer), 0)) > 0) {
      received.append(buffer, static_cast<size_t>(size));
    }
    return received;
  }
  // Returns what the server sends next.
  std::string ReadSome() const {
    char buffer[1024];
    const ssize_t size = recv(socket_, buffer, sizeof(buffer), 0);
    return {buffer, static_cast<size_t>(std::max<ssize_t>(size, 0))};
  }

 private:
  int socket_;
};

TEST(HttpServerTest, GivesTheHandlersResponse) {
  const auto server = MustStart({}, &Echo);
  const auto reply =
      MustCall({.method = "POST", .url = Url("/path"), .body = "body"});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, "POST /path body");
}

TEST(HttpServerTest, RefusesABodyBeyondTheLimit) {
  const auto server =
      MustStart({.max_body_bytes = 8, .too_large_body = "big"}, &Echo);
  const auto reply =
      MustCall({.method = "POST", .url = Url("/"), .body = "nine bytes"});
  EXPECT_EQ(reply.status, 413);
  EXPECT_EQ(reply.body, "big");
}

TEST(HttpServerTest, RefusesOneRequestTooManyAtOnce) {
  std::promise<void> entered;
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  const auto server = MustStart({.max_requests = 1, .overloaded_body = "busy"},
                                [&](const Request&) -> Response {
                                  entered.set_value();
                                  released.wait();
                                  return FullResponse{.body = "first"};
                                });
  auto first = std::async(std::launch::async,
                          [] { return MustCall({.url = Url("/")}); });
  entered.get_future().wait();
  const auto second = MustCall({.url = Url("/")});
  EXPECT_EQ(second.status, 503);
  EXPECT_EQ(second.body, "busy");
  EXPECT_TRUE(second.retry_after.has_value());
  release.set_value();
  EXPECT_EQ(first.get().body, "first");
}

TEST(HttpServerTest, DropsABodyThatComesTooSlowly) {
  const auto server =
      MustStart({.body_timeout = common::milliseconds(50)}, &Echo);
  const RawConnection connection;
  connection.Write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na");
  std::this_thread::sleep_for(common::milliseconds(200));
  connection.Write("b");
  EXPECT_EQ(connection.ReadToEnd(), "");
}

TEST(HttpServerTest, RefusesHeadersBeyondTheLimit) {
  const auto server = MustStart({.max_header_bytes = 2048}, &Echo);
  constexpr size_t kTooMany = 10000;
  const auto reply = MustCall(
      {.url = Url("/"), .headers = {{"X-Long", std::string(kTooMany, 'x')}}});
  EXPECT_GE(reply.status, 400);
  EXPECT_LT(reply.status, 500);
}

class AbortingSource final : public BodySource {
 public:
  BodyPart Next() override {
    if (std::exchange(sent_, true)) {
      return BodyAbort{};
    }
    return BodyChunk{"half"};
  }

 private:
  bool sent_ = false;
};

TEST(HttpServerTest, AnAbortedStreamIsNotTakenForWhole) {
  const auto server = MustStart({}, [](const Request&) -> Response {
    return StreamedResponse{.content_type = "text/plain",
                            .source = std::make_unique<AbortingSource>()};
  });
  const auto outcome = http_client::Call({.url = Url("/")}, kTimeout);
  ASSERT_TRUE(std::holds_alternative<http_client::CallFailure>(outcome));
  EXPECT_TRUE(std::get<http_client::CallFailure>(outcome).sent);
}

TEST(HttpServerTest, WaitUntilIdleLetsTheRunningRequestEnd) {
  std::promise<void> entered;
  auto server = MustStart({}, [&](const Request&) -> Response {
    entered.set_value();
    std::this_thread::sleep_for(common::milliseconds(100));
    return FullResponse{.body = "whole"};
  });
  auto reply = std::async(std::launch::async,
                          [] { return MustCall({.url = Url("/")}); });
  entered.get_future().wait();
  server->StopAccepting();
  server->WaitUntilIdle();
  server.reset();
  EXPECT_EQ(reply.get().body, "whole");
}

TEST(HttpClientTest, TellsWhetherTheServerMayHaveSeenTheRequest) {
  const auto no_server = http_client::Call({.url = Url("/")}, kTimeout);
  ASSERT_TRUE(std::holds_alternative<http_client::CallFailure>(no_server));
  EXPECT_FALSE(std::get<http_client::CallFailure>(no_server).sent);

  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  const auto server = MustStart({}, [&](const Request&) -> Response {
    released.wait();
    return FullResponse{};
  });
  const auto unanswered =
      http_client::Call({.url = Url("/")}, common::milliseconds(100));
  ASSERT_TRUE(std::holds_alternative<http_client::CallFailure>(unanswered));
  EXPECT_TRUE(std::get<http_client::CallFailure>(unanswered).sent);
  release.set_value();
}

TEST(HttpClientTest, RefusesAReplyBeyondTheLimit) {
  const auto server = MustStart({}, [](const Request&) -> Response {
    return FullResponse{.body = std::string(100, 'x')};
  });
  const auto outcome =
      http_client::Call({.url = Url("/"), .max_reply_bytes = 99}, kTimeout);
  EXPECT_TRUE(std::holds_alternative<http_client::CallFailure>(outcome));
}

// Memory for two bodies of the size that the tests below send.
constexpr size_t kBodyBytes = size_t{1} << 20;
constexpr client_budget::BudgetOptions kTightBudget{
    .memory_bytes = 5 * kBodyBytes / 2,
    .max_clients = 4,
    .small_share = 0};

std::string HeadWithLength(size_t bytes) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(bytes) + "\r\n\r\n";
}

// Guards against bodies without an end that take all memory together: the one
// that finds no room is refused, and does not run.
TEST(HttpServerLimiterTest, BodyWithoutRoomIsRefused) {
  ConnectionLimiter limiter(kTightBudget);
  std::atomic<int> calls = 0;
  const auto server = MustStart({.limiter = &limiter}, [&](const Request&) {
    ++calls;
    return FullResponse{};
  });
  const RawConnection first;
  const RawConnection second;
  const RawConnection third;
  for (const RawConnection* connection : {&first, &second}) {
    ASSERT_TRUE(connection->Write(HeadWithLength(kBodyBytes)));
    std::this_thread::sleep_for(common::milliseconds(100));
  }
  ASSERT_TRUE(third.Write(HeadWithLength(kBodyBytes)));
  const std::string refusal = third.ReadSome();
  EXPECT_NE(refusal.find(" 503 "), std::string::npos) << refusal;
  EXPECT_NE(refusal.find("Retry-After"), std::string::npos) << refusal;
  EXPECT_EQ(calls, 0);
}

// Guards against idle connections that keep others out.
TEST(HttpServerLimiterTest, IdleConnectionsGiveWayToNewOnes) {
  ConnectionLimiter limiter(kTightBudget);
  const auto server = MustStart({.limiter = &limiter}, &Echo);
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (size_t i = 0; i < 2 * kTightBudget.max_clients; ++i) {
    idle.push_back(std::make_unique<RawConnection>());
  }
  EXPECT_EQ(MustCall({.url = Url("/x")}).status, 200);
  EXPECT_EQ(idle.front()->ReadToEnd(), "");
}

}  // namespace
}  // namespace wagtailshore::http_server
