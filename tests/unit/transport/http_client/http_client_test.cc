#include "transport/http_client/http_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>
#include <thread>

#include "common/strings.h"

namespace wagtailshore::http_client {
namespace {

constexpr common::Duration kTimeout = common::seconds(10);

// Opens a listening socket on a free loopback port.
int ListenOnLoopback(uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(bind(listener, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)),
            0);
  EXPECT_EQ(listen(listener, 1), 0);
  socklen_t length = sizeof(address);
  EXPECT_EQ(
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length), 0);
  port = ntohs(address.sin_port);
  return listener;
}

void ReadRequest(int connection) {
  std::string request;
  while (request.find("\r\n\r\n") == std::string::npos) {
    char buffer[1024];
    const ssize_t size = read(connection, buffer, sizeof(buffer));
    if (size <= 0) {
      return;
    }
    request.append(buffer, size);
  }
}

// Accepts one connection on a loopback port, reads a request, sends fixed bytes
// and closes the connection in order.
class ClosingServer {
 public:
  explicit ClosingServer(std::string_view bytes)
      : bytes_(bytes), listener_(ListenOnLoopback(port_)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~ClosingServer() {
    thread_.join();
    close(listener_);
  }
  ClosingServer(const ClosingServer&) = delete;
  ClosingServer& operator=(const ClosingServer&) = delete;

  std::string url() const {
    return common::StrCat("http://127.0.0.1:", port_, "/");
  }

 private:
  void Serve() const {
    const int connection = accept(listener_, nullptr, nullptr);
    ReadRequest(connection);
    EXPECT_EQ(send(connection, bytes_.data(), bytes_.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes_.size()));
    close(connection);
  }

  std::string bytes_;
  uint16_t port_ = 0;
  int listener_;
  std::thread thread_;
};

struct ResponseCase {
  const char* name;
  const char* bytes;
  // The body of a complete response; null if the call must fail.
  const char* body;
};

std::ostream& operator<<(std::ostream& out, const ResponseCase& param) {
  return out << param.name;
}

class ClosedResponseTest : public testing::TestWithParam<ResponseCase> {};

// Guards against a response that was cut off inside its head and passes for a
// complete one without a body.
TEST_P(ClosedResponseTest, OnlyACompleteHeadMakesAResponse) {
  const ClosingServer server(GetParam().bytes);
  const auto outcome = Call({.url = server.url()}, kTimeout);
  if (GetParam().body == nullptr) {
    const auto* failure = std::get_if<CallFailure>(&outcome);
    ASSERT_NE(failure, nullptr);
    EXPECT_TRUE(failure->sent);
    return;
  }
  const auto* reply = std::get_if<Reply>(&outcome);
  ASSERT_NE(reply, nullptr) << std::get<CallFailure>(outcome).reason;
  EXPECT_EQ(reply->body, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ClosedResponseTest,
    testing::Values(
        ResponseCase{"Nothing", "", nullptr},
        ResponseCase{"HalfStatusLine", "HTTP/1.1 20", nullptr},
        ResponseCase{"StatusLineOnly", "HTTP/1.1 200 OK\r\n", nullptr},
        ResponseCase{"HalfHeaderName", "HTTP/1.1 200 OK\r\nContent-Ty",
                     nullptr},
        ResponseCase{"HalfLength", "HTTP/1.1 200 OK\r\nContent-Length: 1",
                     nullptr},
        ResponseCase{"WholeLengthWithoutTheEnd",
                     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n", nullptr},
        ResponseCase{"InterimThenHalfHead",
                     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                     nullptr},
        // Guard against statuses that are none.
        ResponseCase{"Status000",
                     "HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nabc",
                     nullptr},
        ResponseCase{"Status099",
                     "HTTP/1.1 099 OK\r\nContent-Length: 3\r\n\r\nabc",
                     nullptr},
        ResponseCase{"Status600",
                     "HTTP/1.1 600 OK\r\nContent-Length: 3\r\n\r\nabc",
                     nullptr},
        ResponseCase{"ShortBody",
                     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
                     nullptr},
        ResponseCase{"ShortChunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n",
                     nullptr},
        ResponseCase{"NoBody", "HTTP/1.1 204 No Content\r\n\r\n", ""},
        ResponseCase{"WholeBody",
                     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
        ResponseCase{"BodyUntilTheEnd", "HTTP/1.1 200 OK\r\n\r\nabc", "abc"},
        ResponseCase{"InterimThenWhole",
                     "HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                     "abc"},
        ResponseCase{"Trailers",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n0\r\nDigest: x\r\n\r\n",
                     "abc"}),
    [](const auto& info) { return std::string(info.param.name); });

// Sends a response whose unit is repeated until its client closes.
class EndlessServer {
 public:
  EndlessServer(std::string_view begin, std::string_view unit)
      : begin_(begin), listener_(ListenOnLoopback(port_)) {
    while (units_.size() < kBlockBytes) {
      units_ += unit;
    }
    thread_ = std::thread([this] { Serve(); });
  }
  ~EndlessServer() {
    thread_.join();
    close(listener_);
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string url() const {
    return common::StrCat("http://127.0.0.1:", port_, "/");
  }

 private:
  static constexpr size_t kBlockBytes = size_t{64} << 10;

  void Serve() const {
    const int connection = accept(listener_, nullptr, nullptr);
    ReadRequest(connection);
    std::string_view bytes = begin_;
    while (true) {
      if (bytes.empty()) {
        bytes = units_;
      }
      const ssize_t sent =
          send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        break;
      }
      bytes.remove_prefix(sent);
    }
    close(connection);
  }

  std::string begin_;
  std::string units_;
  uint16_t port_ = 0;
  int listener_;
  std::thread thread_;
};

struct EndlessCase {
  const char* name;
  const char* begin;
  const char* unit;
};

std::ostream& operator<<(std::ostream& out, const EndlessCase& param) {
  return out << param.name;
}

class EndlessResponseTest : public testing::TestWithParam<EndlessCase> {};

// Guards against a response that is read until the timeout, and kept.
TEST_P(EndlessResponseTest, FailsAtItsLimit) {
  const EndlessServer server(GetParam().begin, GetParam().unit);
  const auto outcome =
      Call({.url = server.url(), .max_reply_bytes = size_t{1} << 20},
           common::seconds(60));
  const auto* failure = std::get_if<CallFailure>(&outcome);
  ASSERT_NE(failure, nullptr);
  EXPECT_TRUE(failure->sent);
  EXPECT_NE(failure->reason, "timed out");
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndlessResponseTest,
    testing::Values(
        EndlessCase{"Letters", "", "aaaaaaaa"},
        EndlessCase{"Field", "HTTP/1.1 200 OK\r\nX-Field: ", "aaaaaaaa"},
        EndlessCase{"Fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
        EndlessCase{"InterimResponses", "",
                    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
        EndlessCase{"Body", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
        EndlessCase{"Trailer",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nok\r\n0\r\n",
                    "X-Field: value\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against responses that are each within their limit and together take
// the memory of the machine; a small one is read beside them.
TEST(HeldResponsesTest, FailAtTheLimitOfAll) {
  InitializeLibrary(/*max_held_bytes=*/size_t{256} << 10);
  const EndlessServer endless("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa");
  const auto outcome = Call({.url = endless.url()}, common::seconds(60));
  ASSERT_TRUE(std::holds_alternative<CallFailure>(outcome));
  const ClosingServer sound("HTTP/1.1 200 OK\r\n\r\nok");
  const auto small = Call({.url = sound.url()}, kTimeout);
  EXPECT_TRUE(std::holds_alternative<Reply>(small));
  InitializeLibrary();
}

}  // namespace
}  // namespace wagtailshore::http_client
