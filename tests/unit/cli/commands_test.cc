#include "cli/commands/commands.h"

#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "support/test_address.h"
#include "transport/http_client/http_client.h"
#include "transport/http_server/http_server.h"

namespace wagtailshore::commands {
namespace {

const std::string kReykjanes = EXAMPLES_DIR "/reykjanes.json";
// A file that exists but is not JSON. __FILE__ cannot be used, because the
// compiler cache makes it relative to another folder.
const std::string kNotAManifest = EXAMPLES_DIR "/../README.md";
const std::string kFiera = EXAMPLES_DIR "/fiera-padana.json";

struct Result {
  ExitCode code;
  std::string out;
  std::string err;
};

Result RunWith(const std::vector<std::string>& arguments,
               std::optional<std::string> token = std::nullopt) {
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = Run(
      arguments, [&](const std::string&) { return token; }, out, err);
  return {.code = code, .out = out.str(), .err = err.str()};
}

struct Case {
  const char* name;
  std::vector<std::string> arguments;
  ExitCode code;
  // Text that must be in the output, on either stream.
  const char* printed;
};

class OfflineTest : public testing::TestWithParam<Case> {};

TEST_P(OfflineTest, ExitsAndPrints) {
  const Result result = RunWith(GetParam().arguments);
  EXPECT_EQ(result.code, GetParam().code);
  EXPECT_NE((result.out + result.err).find(GetParam().printed),
            std::string::npos)
      << result.out << result.err;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OfflineTest,
    testing::Values(
        Case{"Nothing", {}, ExitCode::kUsage, "usage:"},
        Case{"Help", {"--help"}, ExitCode::kDone, "usage:"},
        Case{"Version", {"--version"}, ExitCode::kDone, "wagtailshore 0"},
        Case{"Unknown", {"fly"}, ExitCode::kUsage, "\"fly\""},
        Case{"CheckHelp", {"check", "--help"}, ExitCode::kDone, ""},
        Case{"CheckGood", {"check", kReykjanes}, ExitCode::kDone, "no finding"},
        Case{"CheckBad",
             {"check", kNotAManifest},
             ExitCode::kRefused,
             "not JSON"},
        Case{"CheckJson",
             {"check", kNotAManifest, "--output=json"},
             ExitCode::kRefused,
             "\"findings\""},
        Case{"CheckNoFile", {"check", "/nowhere"}, ExitCode::kUsage, "nowhere"},
        Case{"CheckBadOutput",
             {"check", kReykjanes, "--output=xml"},
             ExitCode::kUsage,
             "xml"},
        Case{"Event", {"events", "1101"}, ExitCode::kDone, "WS-1101"},
        Case{"EventJson",
             {"events", "1101", "--output=json"},
             ExitCode::kDone,
             "\"number\": 1101"},
        Case{"NoEvent", {"events", "7"}, ExitCode::kRefused, "no event"},
        Case{"SubmitNoBase",
             {"submit", kReykjanes, "--admin=127.0.0.1:1"},
             ExitCode::kUsage,
             "base"},
        Case{"SubmitNobody",
             {"submit", kReykjanes, "--admin=127.0.0.1:1", "--base=0"},
             ExitCode::kRefused,
             "no answer"},
        Case{"StatusNobody",
             {"status", "--admin=127.0.0.1:1"},
             ExitCode::kRefused,
             "no answer"},
        Case{"DumpNobody",
             {"dump", "127.0.0.1:1"},
             ExitCode::kRefused,
             "no answer"},
        Case{"PlanSame",
             {"plan", kFiera, "--against=" + kFiera},
             ExitCode::kDone,
             "no changes"},
        Case{"PlanOther",
             {"plan", kFiera, "--against=" + kReykjanes},
             ExitCode::kDone,
             "removed services/certificate-desk"},
        Case{"PlanAgainstNothing", {"plan", kFiera}, ExitCode::kUsage, "admin"},
        Case{"PlanBad",
             {"plan", kNotAManifest, "--against=" + kFiera},
             ExitCode::kRefused,
             "not JSON"}),
    [](const auto& info) { return info.param.name; });

// Runs a fake admin server of an entry that answers requests with the token.
class AdminTest : public testing::Test {
 protected:
  AdminTest() {
    http_client::InitializeLibrary();
    auto server = http_server::Server::Start(
        {.address = address_}, [](const http_server::Request& request) {
          return http_server::Response(Answer(request));
        });
    EXPECT_TRUE(server.ok()) << server.status();
    server_ = *std::move(server);
  }

  static http_server::FullResponse Answer(const http_server::Request& request) {
    const auto token = request.headers.find("authorization");
    if (token == request.headers.end() || token->second != "Bearer secret") {
      return {.status = 401, .body = "no"};
    }
    if (request.path == "/dump") {
      return {.body = R"({"name": "a", "role": "entry", "failure_domain": "d",
        "manifest": {"version": 4, "in_force_for_ms": 9000},
        "peers": [{"name": "e", "role": "endpoint", "failure_domain": "d",
                   "manifest_version": 3, "manifest_version_for_ms": 2000,
                   "leaving": true}]})"};
    }
    if (request.method == "POST") {
      return {.status = 409,
              .body = R"({"outcome": "conflict", "version": 5})"};
    }
    return {.body = R"({"version": 4, "manifest": {"groups": [
        {"name": "g", "model": "m"}]}})"};
  }

  const std::string address_ = test_support::TestAddress(7301);
  std::unique_ptr<http_server::Server> server_;
};

TEST_F(AdminTest, StatusShowsVersionsAndLeaving) {
  const Result result = RunWith({"status", "--admin=" + address_}, "secret");
  EXPECT_EQ(result.code, ExitCode::kDone);
  EXPECT_EQ(result.out,
            "d: version 3 to 4 for 2 s, 2 processes; leaving: e\n"
            "groups: g\nendpoints: e\nquarantined: []\n");
}

TEST_F(AdminTest, LoserIsToldTheVersionThatWon) {
  const Result result = RunWith(
      {"submit", kReykjanes, "--base=4", "--admin=" + address_}, "secret");
  EXPECT_EQ(result.code, ExitCode::kRefused);
  EXPECT_NE(result.out.find("conflict: version 5"), std::string::npos);
}

TEST_F(AdminTest, DumpIsPrintedWhole) {
  const Result result = RunWith({"dump", address_, "--output=json"}, "secret");
  EXPECT_EQ(result.code, ExitCode::kDone);
  EXPECT_EQ(nlohmann::json::parse(result.out).at("name"), "a");
}

TEST_F(AdminTest, WrongTokenIsRefusedAndNotPrinted) {
  const Result result = RunWith({"dump", address_}, "other-word");
  EXPECT_EQ(result.code, ExitCode::kRefused);
  EXPECT_NE(result.err.find(kAdminTokenVariable), std::string::npos);
  EXPECT_EQ((result.out + result.err).find("other-word"), std::string::npos);
}

}  // namespace
}  // namespace wagtailshore::commands
