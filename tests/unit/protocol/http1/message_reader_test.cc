#include "protocol/http1/message_reader.h"

#include <gtest/gtest.h>

#include "protocol/http1/serialize.h"

namespace wagtailshore::http1 {
namespace {

struct RequestCase {
  const char* name;
  std::string text;
  std::string body;
  // Bytes that follow the message and must not be consumed.
  std::string rest;
};

class RequestReaderTest : public testing::TestWithParam<RequestCase> {};

// Holds for every size of the pieces in which the message arrives.
TEST_P(RequestReaderTest, OneMessageIsTakenAndTheRestLeft) {
  const RequestCase& param = GetParam();
  const std::string all = param.text + param.rest;
  for (size_t piece = 1; piece <= all.size(); ++piece) {
    RequestReader reader{ReaderOptions{}};
    std::string input;
    std::string body;
    bool complete = false;
    size_t fed = 0;
    while (fed < all.size() && !complete) {
      input += all.substr(fed, piece);
      fed = std::min(all.size(), fed + piece);
      const auto progress = reader.Read(input);
      ASSERT_TRUE(progress.ok()) << progress.status().message();
      input.erase(0, progress->consumed);
      body += progress->body;
      complete = progress->complete;
    }
    EXPECT_TRUE(complete);
    EXPECT_EQ(body, param.body);
    EXPECT_EQ(input + all.substr(fed), param.rest);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Messages,
    RequestReaderTest,
    testing::Values(
        RequestCase{"Get", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "",
                    "GET /b HTTP/1.1\r\n"},
        RequestCase{"Length",
                    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                    "3\r\n\r\nabc",
                    "abc", "xyz"},
        RequestCase{"Chunks",
                    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
                    "abc", "GET"},
        RequestCase{"EmptyBody",
                    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                    "0\r\n\r\n",
                    "", ""}),
    [](const auto& info) { return std::string(info.param.name); });

struct BadRequestCase {
  const char* name;
  std::string text;
  ReadError error;
};

class BadRequestTest : public testing::TestWithParam<BadRequestCase> {};

// Guards against request smuggling: if two readers interpret a message
// differently, one request can be hidden inside another.
TEST_P(BadRequestTest, IsRefused) {
  RequestReader reader({.max_header_bytes = 256, .max_body_bytes = 8});
  const auto progress = reader.Read(GetParam().text);
  ASSERT_FALSE(progress.ok());
  EXPECT_EQ(ReadErrorOf(progress.status()), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Messages,
    BadRequestTest,
    testing::Values(
        BadRequestCase{"LengthAndChunks",
                       "POST /a HTTP/1.1\r\nContent-Length: "
                       "3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                       ReadError::kBadMessage},
        BadRequestCase{"ChunksAndLength",
                       "POST /a HTTP/1.1\r\nTransfer-Encoding: "
                       "chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
                       ReadError::kBadMessage},
        BadRequestCase{"TwoLengths",
                       "POST /a HTTP/1.1\r\nContent-Length: "
                       "3\r\nContent-Length: 4\r\n\r\nabcd",
                       ReadError::kBadMessage},
        BadRequestCase{"OtherCoding",
                       "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, "
                       "chunked\r\n\r\n0\r\n\r\n",
                       ReadError::kBadMessage},
        BadRequestCase{"BlankBeforeColon",
                       "POST /a HTTP/1.1\r\nContent-Length : "
                       "3\r\n\r\nabc",
                       ReadError::kBadMessage},
        BadRequestCase{"BadLength",
                       "POST /a HTTP/1.1\r\nContent-Length: "
                       "-1\r\n\r\n",
                       ReadError::kBadMessage},
        BadRequestCase{"BadChunk",
                       "POST /a HTTP/1.1\r\nTransfer-Encoding: "
                       "chunked\r\n\r\nzz\r\n",
                       ReadError::kBadMessage},
        BadRequestCase{"NoHttp", "hello\r\n\r\n", ReadError::kBadMessage},
        BadRequestCase{"LongBody",
                       "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
                       ReadError::kBodyTooLarge},
        BadRequestCase{"LongHead",
                       "GET /a HTTP/1.1\r\nA: " + std::string(300, 'x'),
                       ReadError::kHeadTooLarge}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ResponseReaderTest, BodyWithoutLengthEndsWithTheConnection) {
  ResponseReader reader{ReaderOptions{}};
  const auto progress = reader.Read("HTTP/1.1 200 OK\r\n\r\nabc");
  ASSERT_TRUE(progress.ok());
  EXPECT_TRUE(reader.head().until_close);
  EXPECT_FALSE(reader.head().keep_alive);
  EXPECT_FALSE(progress->complete);
  EXPECT_EQ(progress->body, "abc");
  EXPECT_TRUE(reader.ReadEnd().ok());
}

TEST(ResponseReaderTest, CutBodyIsNotComplete) {
  ResponseReader reader{ReaderOptions{}};
  const auto progress =
      reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  ASSERT_TRUE(progress.ok());
  EXPECT_FALSE(progress->complete);
  EXPECT_FALSE(reader.ReadEnd().ok());
}

TEST(HeadersTest, FieldsOfOneConnectionAreRemoved) {
  Headers headers;
  headers.Add("Connection", "close, X-Private");
  headers.Add("x-private", "1");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("X-Kept", "2");
  headers.RemoveHopByHop();
  ASSERT_EQ(headers.all().size(), 1U);
  EXPECT_EQ(headers.all().front().name, "X-Kept");
}

TEST(SerializeTest, WhatIsWrittenReadsBack) {
  Headers headers;
  headers.Add("Host", "h");
  RequestReader reader{ReaderOptions{}};
  const auto progress =
      reader.Read(FormatRequest("POST", "/x?y", headers, "body"));
  ASSERT_TRUE(progress.ok());
  EXPECT_TRUE(progress->complete);
  EXPECT_EQ(reader.head().target, "/x?y");
  EXPECT_EQ(progress->body, "body");
}

}  // namespace
}  // namespace wagtailshore::http1
