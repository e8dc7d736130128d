#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "bench/capacity.h"
#include "common/invariant.h"
#include "common/strings.h"
#include "protocol/http_api/http_api.h"
#include "protocol/messages/messages.h"
#include "state/stream/stream_assembler.h"

namespace wagtailshore::bench::capacity {
namespace {

constexpr size_t kMaxFrameBytes = size_t{1} << 20;

messages::GenerateAttempt AttemptOf(size_t prompt_bytes) {
  return {.id = {"0123456789abcdef0123456789abcdef-1", 1},
          .customer = "customer-1",
          .model = "model-1",
          .prompt = std::string(prompt_bytes, 'p'),
          .max_tokens = 276,
          .deadline_ms = 60'000,
          .priority = "normal"};
}

// Cost of parsing a caller's request and encoding the attempt for the endpoint.
Cost RequestCost(size_t prompt_bytes) {
  const std::string body =
      nlohmann::json({{"prompt", std::string(prompt_bytes, 'p')}}).dump();
  const messages::GenerateAttempt attempt = AttemptOf(prompt_bytes);
  return {.wire_bytes = static_cast<double>(messages::Encode(attempt).size()),
          .microseconds = MicrosecondsOf([&] {
            const auto envelope = http_api::ParseEnvelope(
                {{"authorization", "Bearer a-customers-key"}});
            WS_INVARIANT(std::holds_alternative<http_api::Envelope>(envelope));
            const auto call = http_api::ParseCall(
                "POST", "/v1/models/model-1/generate", body);
            WS_INVARIANT(std::holds_alternative<http_api::Call>(call));
            (void)messages::Encode(attempt);
          })};
}

// Cost in the entry of all frames of one answer: splitting, decoding and
// ordering them, and formatting the caller's events.
Cost AnswerCost(size_t tokens) {
  const std::string request = "0123456789abcdef0123456789abcdef-1";
  std::string bytes;
  for (size_t i = 0; i < tokens; ++i) {
    bytes += messages::AddSizePrefix(
        messages::Encode(stream::Frame{.id = {request, 1},
                                       .offset = i,
                                       .tokens = 1,
                                       .text = "word ",
                                       .last = i + 1 == tokens}));
  }
  size_t heap = 0;
  const double microseconds = MicrosecondsOf([&] {
    const size_t before = HeapBytesInUse();
    messages::MessageSplitter splitter(kMaxFrameBytes);
    stream::StreamAssembler assembler(request);
    assembler.StartAttempt();
    constexpr size_t kReadBytes = 110;
    for (size_t at = 0; at < bytes.size(); at += kReadBytes) {
      splitter.Append(std::string_view(bytes).substr(at, kReadBytes));
      for (auto next = splitter.Next(); next.ok() && next->has_value();
           next = splitter.Next()) {
        const auto frame = messages::DecodeFrame(**next);
        WS_INVARIANT(frame.ok());
        (void)assembler.Accept(*frame);
        (void)http_api::FormatTextEvent(frame->text);
      }
    }
    WS_INVARIANT(assembler.complete());
    heap = HeapBytesInUse() - before;
  });
  return {.heap_bytes = static_cast<double>(heap),
          .wire_bytes = static_cast<double>(bytes.size()),
          .microseconds = microseconds};
}

// Heap memory of a group's expert map, and the messages of one map change: the
// moves to each rank, two short answers from each rank, and the decision. Two
// experts per layer move.
Cost MapChangeCost(size_t ranks) {
  using Json = nlohmann::json;
  constexpr size_t kLayers = 60;
  constexpr size_t kSlotsPerRank = 2;
  constexpr size_t kMovesPerLayer = 2;
  const size_t before = HeapBytesInUse();
  const auto map =
      std::make_unique<std::vector<uint16_t>>(kLayers * ranks * kSlotsPerRank);
  const size_t after = HeapBytesInUse();
  Json moves = Json::array();
  for (size_t layer = 0; layer < kLayers; ++layer) {
    for (size_t i = 0; i < kMovesPerLayer; ++i) {
      moves.push_back({layer, (layer + i) % ranks, i, layer + i});
    }
  }
  const Json proposal = {{"group", "model-1-group"},
                         {"ballot", 12},
                         {"map_version", 340},
                         {"step", 1'000'000},
                         {"moves", moves}};
  const Json short_message = {
      {"group", "model-1-group"}, {"ballot", 12}, {"map_version", 340},
      {"step", 1'000'000},        {"rank", 17},   {"kind", "promise"}};
  const auto proposal_bytes = Json::to_msgpack(proposal);
  const auto short_bytes = Json::to_msgpack(short_message);
  constexpr size_t kShortMessages = 3;
  return {.heap_bytes = static_cast<double>(after - before),
          .wire_bytes = static_cast<double>(
              ranks *
              (proposal_bytes.size() + kShortMessages * short_bytes.size())),
          .microseconds = MicrosecondsOf([&] {
            for (size_t rank = 0; rank < ranks; ++rank) {
              (void)Json::to_msgpack(proposal);
              (void)Json::to_msgpack(short_message);
              WS_INVARIANT(Json::from_msgpack(short_bytes).is_object());
              WS_INVARIANT(Json::from_msgpack(short_bytes).is_object());
            }
          })};
}

}  // namespace

std::vector<Part> RequestParts() {
  return {
      {"request", "prompt bytes", {100, 1000, 10'000}, &RequestCost},
      {"answer", "tokens", {1, 100, 1000}, &AnswerCost},
      {"map change", "ranks", {8, 64, 256}, &MapChangeCost},
  };
}

}  // namespace wagtailshore::bench::capacity
