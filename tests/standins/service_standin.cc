// A stand-in for a non-model service. Counts the calls per badge.
//
//   POST /call    JSON request and response
//   GET /runs     {"BADGE": N, ...}

#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "standins/standin_main.h"

namespace wagtailshore::standins {
namespace {

using Json = nlohmann::json;

class Service {
 public:
  explicit Service(std::chrono::milliseconds call_time)
      : call_time_(call_time) {}

  http_server::Response OnRequest(const http_server::Request& request) {
    if (request.path == "/call") {
      std::this_thread::sleep_for(call_time_);
    }
    const std::lock_guard lock(mutex_);
    if (request.path == "/runs") {
      return Reply(200, Json(runs_).dump());
    }
    if (request.path != "/call") {
      return Reply(404, "{}");
    }
    const Json json = Json::parse(request.body);
    const Json& input = json.at("input");
    if (input.is_object() && input.contains("badge")) {
      ++runs_[input["badge"].dump()];
    }
    return Reply(200, Json({{"call", json.at("call")},
                            {"input", json.at("input")},
                            {"number", ++calls_}})
                          .dump());
  }

 private:
  std::chrono::milliseconds call_time_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  int calls_ = 0;
};

}  // namespace
}  // namespace wagtailshore::standins

int main(int argc, char** argv) {
  TCLAP::CmdLine line("A stand-in for a non-model service.", '=');
  TCLAP::ValueArg<std::string> address("", "address", "listening address", true,
                                       "", "IP:port", line);
  TCLAP::ValueArg<int> call_ms("", "call-ms", "time per call", false, 0, "ms",
                               line);
  line.parse(argc, argv);
  wagtailshore::standins::Service service(
      std::chrono::milliseconds(call_ms.getValue()));
  return wagtailshore::standins::ServeUntilStopped(
      address.getValue(),
      [&](const auto& request) { return service.OnRequest(request); });
}
