#include "protocol/event_stream/event_stream.h"

#include <gtest/gtest.h>

namespace wagtailshore::event_stream {
namespace {

struct SplitCase {
  const char* name;
  std::string data;
  std::vector<std::optional<uint64_t>> ids;
  size_t partial_bytes;
};

class SplitterTest : public testing::TestWithParam<SplitCase> {};

// Holds for every size of the pieces in which the data arrives.
TEST_P(SplitterTest, WholeEventsComeOutOnce) {
  const SplitCase& param = GetParam();
  for (size_t piece = 1; piece <= param.data.size(); ++piece) {
    Splitter splitter;
    std::string joined;
    std::vector<std::optional<uint64_t>> ids;
    for (size_t at = 0; at < param.data.size(); at += piece) {
      for (const Event& event : splitter.Feed(param.data.substr(at, piece))) {
        joined += event.text;
        ids.push_back(event.id);
      }
    }
    EXPECT_EQ(ids, param.ids);
    EXPECT_EQ(splitter.partial_bytes(), param.partial_bytes);
    EXPECT_EQ(joined,
              param.data.substr(0, param.data.size() - param.partial_bytes));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Streams,
    SplitterTest,
    testing::Values(
        SplitCase{"Two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", {1, 2}, 0},
        SplitCase{"Cut", "id: 1\ndata: a\n\nid: 2\nda", {1}, 8},
        SplitCase{"CarriageReturns", "id:7\r\ndata: a\r\n\r\n", {7}, 0},
        SplitCase{"WithoutId", "data: a\n\n", {std::nullopt}, 0},
        SplitCase{"IdAfterAnotherField",
                  "weights: 3\nid: 9\ndata: x\n\n",
                  {9},
                  0},
        SplitCase{"IdIsNoNumber", "id: x\n\n", {std::nullopt}, 0}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace wagtailshore::event_stream
