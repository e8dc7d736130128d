#include "daemon/endpoint/engine_stream.h"

#include <nlohmann/json.hpp>

#include "common/strings.h"

namespace wagtailshore::endpoint {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr size_t kMaxLineBytes = size_t{1} << 20;

http_client::Request EngineRequest(const std::string& engine_url,
                                   const messages::GenerateAttempt& attempt) {
  const Json body = {
      {"request", attempt.id.request},      {"attempt", attempt.id.attempt},
      {"prompt", attempt.prompt},           {"offset", attempt.offset},
      {"text_so_far", attempt.text_so_far}, {"max_tokens", attempt.max_tokens},
      {"priority", attempt.priority}};
  return {.method = "POST",
          .url = common::StrCat(engine_url, "/generate"),
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

EngineOutcome ParsePiece(const std::string& line) {
  auto piece = engine_line::Parse(line);
  if (!piece.ok()) {
    return EngineFailed{};
  }
  return *std::move(piece);
}

}  // namespace

EngineStream::EngineStream(const std::string& engine_url,
                           const messages::GenerateAttempt& attempt)
    : exchange_(EngineRequest(engine_url, attempt)) {}

EngineOutcome EngineStream::Next(common::Duration timeout) {
  while (true) {
    const size_t end = buffer_.find('\n');
    if (end != std::string::npos) {
      const std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      return ParsePiece(line);
    }
    if (buffer_.size() > kMaxLineBytes) {
      return EngineFailed{};
    }
    const http_client::ReadOutcome outcome = exchange_.Read(timeout);
    const auto* failed = std::get_if<http_client::Failed>(&outcome);
    if (failed != nullptr && !failed->sent) {
      return EngineRefused{};
    }
    if (exchange_.status() != kOk && exchange_.status() != 0) {
      return EngineRefused{exchange_.retry_after()};
    }
    const auto* data = std::get_if<http_client::Data>(&outcome);
    if (data == nullptr) {
      return EngineFailed{};
    }
    buffer_ += data->bytes;
  }
}

}  // namespace wagtailshore::endpoint
