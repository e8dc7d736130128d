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

// Accepts one connection on a loopback port, reads a request, sends fixed bytes
// and closes the connection in order.
class ClosingServer {
 public:
  explicit ClosingServer(std::string_view bytes)
      : bytes_(bytes), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)),
              0);
    EXPECT_EQ(listen(listener_, 1), 0);
    socklen_t length = sizeof(address);
    EXPECT_EQ(
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length),
        0);
    port_ = ntohs(address.sin_port);
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
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      char buffer[1024];
      const ssize_t size = read(connection, buffer, sizeof(buffer));
      if (size <= 0) {
        break;
      }
      request.append(buffer, size);
    }
    EXPECT_EQ(send(connection, bytes_.data(), bytes_.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes_.size()));
    close(connection);
  }

  std::string bytes_;
  int listener_;
  uint16_t port_ = 0;
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

}  // namespace
}  // namespace wagtailshore::http_client
