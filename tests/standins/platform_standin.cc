// A stand-in for the platform: a transactional table, an object store and an
// instance list, with fault injection.
//
//   POST /table/read, /table/write   msgpack
//   GET, PUT /objects/NAME
//   GET, PUT /instances              JSON
//   POST /fault/MODE                 MODE: none, down, lose_answers

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/standin_main.h"

namespace wagtailshore::standins {
namespace {

using Json = nlohmann::json;

constexpr char kObjectsPath[] = "/objects/";
constexpr char kFaultPath[] = "/fault/";

struct Row {
  uint64_t version = 0;
  Json value = Json::binary({});
  std::string token;
};

class Platform {
 public:
  http_server::Response OnRequest(const http_server::Request& request) {
    const std::lock_guard lock(mutex_);
    if (request.path.starts_with(kFaultPath)) {
      fault_ = request.path.substr(sizeof(kFaultPath) - 1);
      return Reply(200, "{}");
    }
    if (fault_ == "down") {
      return Reply(503, "{}");
    }
    http_server::FullResponse response = Serve(request);
    if (fault_ == "lose_answers") {
      return Reply(504, "{}");
    }
    return response;
  }

 private:
  http_server::FullResponse Serve(const http_server::Request& request) {
    if (request.path == "/table/read") {
      const Json json = Json::from_msgpack(request.body);
      return RowReply(200, rows_[json.at("key")]);
    }
    if (request.path == "/table/write") {
      return Write(Json::from_msgpack(request.body));
    }
    if (request.path == "/instances") {
      if (request.method == "PUT") {
        instances_ = request.body;
      }
      return Reply(200, instances_);
    }
    if (request.path.starts_with(kObjectsPath)) {
      return ServeObject(request);
    }
    return Reply(404, "{}");
  }

  http_server::FullResponse Write(const Json& json) {
    Row& row = rows_[json.at("key")];
    if (row.version != json.at("expected_version")) {
      return RowReply(409, row);
    }
    ++row.version;
    row.value = json.at("value");
    row.token = json.at("token");
    return RowReply(200, row);
  }

  http_server::FullResponse ServeObject(const http_server::Request& request) {
    const std::string name = request.path.substr(sizeof(kObjectsPath) - 1);
    if (request.method == "PUT") {
      objects_[name] = request.body;
      return Reply(200, "{}");
    }
    const auto found = objects_.find(name);
    return found == objects_.end() ? Reply(404, "{}")
                                   : Reply(200, found->second);
  }

  static http_server::FullResponse RowReply(int status, const Row& row) {
    const std::vector<uint8_t> bytes = Json::to_msgpack(
        {{"version", row.version}, {"value", row.value}, {"token", row.token}});
    return Reply(status, {bytes.begin(), bytes.end()});
  }

  std::mutex mutex_;
  std::string fault_ = "none";
  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::string instances_ = "[]";
};

}  // namespace
}  // namespace wagtailshore::standins

int main(int argc, char** argv) {
  TCLAP::CmdLine line("A stand-in for the platform.", '=');
  TCLAP::ValueArg<std::string> address("", "address", "listening address", true,
                                       "", "IP:port", line);
  line.parse(argc, argv);
  wagtailshore::standins::Platform platform;
  return wagtailshore::standins::ServeUntilStopped(
      address.getValue(),
      [&](const auto& request) { return platform.OnRequest(request); });
}
