// A stand-in for one model engine. The answer depends only on the prompt, so
// that any engine can continue where another one stopped.
//
//   POST /generate   JSON request; one JSON object per response line
//   GET /stats       {"started": N, "finished": N}

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "standins/answer_text.h"
#include "standins/standin_main.h"

namespace wagtailshore::standins {
namespace {

using Json = nlohmann::json;

// A prompt with this prefix makes the process exit with status 1.
constexpr std::string_view kCrashingPrompt = "crash";

struct Stats {
  std::atomic<uint64_t> started{0};
  std::atomic<uint64_t> finished{0};
};

class TokenSource final : public http_server::BodySource {
 public:
  TokenSource(const Json& request,
              std::chrono::milliseconds token_time,
              Stats& stats)
      : prompt_(request.at("prompt")),
        offset_(request.at("offset")),
        max_tokens_(request.at("max_tokens")),
        token_time_(token_time),
        stats_(stats) {}

  http_server::BodyPart Next() override {
    if (done_) {
      ++stats_.finished;
      return http_server::BodyEnd{};
    }
    std::this_thread::sleep_for(token_time_);
    Json piece = {{"tokens", 0}, {"text", ""}, {"last", true}};
    if (offset_ < max_tokens_) {
      piece["tokens"] = 1;
      piece["text"] = TokenAt(prompt_, offset_);
      ++offset_;
    }
    done_ = offset_ >= max_tokens_;
    piece["last"] = done_;
    return http_server::BodyChunk{piece.dump() + "\n"};
  }

 private:
  std::string prompt_;
  uint64_t offset_;
  uint64_t max_tokens_;
  std::chrono::milliseconds token_time_;
  Stats& stats_;
  bool done_ = false;
};

http_server::Response OnRequest(const http_server::Request& request,
                                std::chrono::milliseconds token_time,
                                Stats& stats) {
  if (request.path == "/stats") {
    return Reply(200, Json({{"started", stats.started.load()},
                            {"finished", stats.finished.load()}})
                          .dump());
  }
  if (request.path != "/generate") {
    return Reply(404, "{}");
  }
  ++stats.started;
  const Json json = Json::parse(request.body);
  if (json.at("prompt").get_ref<const std::string&>().starts_with(
          kCrashingPrompt)) {
    std::_Exit(1);
  }
  return http_server::StreamedResponse{
      .content_type = "application/x-ndjson",
      .source = std::make_unique<TokenSource>(json, token_time, stats)};
}

}  // namespace
}  // namespace wagtailshore::standins

int main(int argc, char** argv) {
  TCLAP::CmdLine line("A stand-in for one model engine.", '=');
  TCLAP::ValueArg<std::string> address("", "address", "listening address", true,
                                       "", "IP:port", line);
  TCLAP::ValueArg<int> token_ms("", "token-ms", "time per token", false, 5,
                                "ms", line);
  line.parse(argc, argv);
  wagtailshore::standins::Stats stats;
  return wagtailshore::standins::ServeUntilStopped(
      address.getValue(), [&](const auto& request) {
        return wagtailshore::standins::OnRequest(
            request, std::chrono::milliseconds(token_ms.getValue()), stats);
      });
}
