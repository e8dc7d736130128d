#include "cli/commands/commands.h"

#include <tclap/CmdLine.h>

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string_view>
#include <variant>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/strings.h"
#include "protocol/manifest_codec/manifest_codec.h"
#include "transport/http_client/http_client.h"

namespace wagtailshore::commands {
namespace {

using Json = nlohmann::json;

constexpr char kVersion[] = "0.1.0";
constexpr common::Duration kAdminTimeout = common::seconds(10);
constexpr int kOk = 200;

// Where a subcommand writes to.
struct Output {
  std::ostream& out;
  std::ostream& err;
};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Prints the reply of an admin address and maps its status to an exit code.
ExitCode PrintReply(const Output& output, http_client::Request request) {
  const auto outcome = http_client::Call(std::move(request), kAdminTimeout);
  if (const auto* failure = std::get_if<http_client::CallFailure>(&outcome)) {
    output.err << "wagtailshore: no answer: " << failure->reason << "\n";
    return ExitCode::kRefused;
  }
  const auto& reply = std::get<http_client::Reply>(outcome);
  output.out << reply.body << (reply.body.ends_with('\n') ? "" : "\n");
  return reply.status == kOk ? ExitCode::kDone : ExitCode::kRefused;
}

using AdminFlag = TCLAP::ValueArg<std::string>;
using FileArgument = TCLAP::UnlabeledValueArg<std::string>;

ExitCode Check(TCLAP::CmdLine& line,
               std::vector<std::string> arguments,
               const Output& output) {
  FileArgument file("FILE", "the manifest", true, "", "file", line);
  line.parse(arguments);
  const auto text = ReadFile(file.getValue());
  if (!text.has_value()) {
    output.err << file.getValue() << ": cannot be read\n";
    return ExitCode::kUsage;
  }
  const auto parsed = manifest_codec::Parse(*text);
  if (const auto* findings = std::get_if<common::Findings>(&parsed)) {
    output.out << common::FormatFindings(*findings);
    return ExitCode::kRefused;
  }
  output.out << "no findings\n";
  return ExitCode::kDone;
}

ExitCode Submit(TCLAP::CmdLine& line,
                std::vector<std::string> arguments,
                const Output& output) {
  FileArgument file("FILE", "the manifest", true, "", "file", line);
  TCLAP::ValueArg<std::string> base("", "base",
                                    "the version that the change is based on",
                                    true, "", "version", line);
  AdminFlag admin("", "admin", "an entry's admin address", true, "", "IP:port",
                  line);
  line.parse(arguments);
  const auto text = ReadFile(file.getValue());
  if (!text.has_value()) {
    output.err << file.getValue() << ": cannot be read\n";
    return ExitCode::kUsage;
  }
  // The same file on the same base is the same submission, so that a retry
  // after a lost answer is recognised.
  const std::string identity =
      common::Sha256Hex(common::StrCat(base.getValue(), "\n", *text));
  return PrintReply(output,
                    {.method = "POST",
                     .url = common::StrCat("http://", admin.getValue(),
                                           "/manifest?base=", base.getValue(),
                                           "&submission=", identity),
                     .body = *text});
}

ExitCode Status(TCLAP::CmdLine& line,
                std::vector<std::string> arguments,
                const Output& output) {
  AdminFlag admin("", "admin", "an entry's admin address", true, "", "IP:port",
                  line);
  line.parse(arguments);
  return PrintReply(output, {.url = common::StrCat("http://", admin.getValue(),
                                                   "/manifest")});
}

ExitCode Dump(TCLAP::CmdLine& line,
              std::vector<std::string> arguments,
              const Output& output) {
  FileArgument address("ADDRESS", "a process's admin address", true, "",
                       "IP:port", line);
  line.parse(arguments);
  return PrintReply(
      output, {.url = common::StrCat("http://", address.getValue(), "/dump")});
}

ExitCode Events(TCLAP::CmdLine& line,
                std::vector<std::string> arguments,
                const Output& output) {
  TCLAP::UnlabeledValueArg<int> number("NUMBER", "one event's number", false, 0,
                                       "number", line);
  line.parse(arguments);
  bool found = false;
  for (const common::EventSpec& spec : common::EventCatalogue()) {
    const int id = static_cast<int>(spec.id);
    if (number.isSet() && number.getValue() != id) {
      continue;
    }
    found = true;
    output.out << "WS-" << id << " " << spec.title
               << "\n  cause:  " << spec.cause << "\n  action: " << spec.action
               << "\n";
  }
  return found ? ExitCode::kDone : ExitCode::kRefused;
}

struct Subcommand {
  std::string_view name;
  const char* help;
  ExitCode (*run)(TCLAP::CmdLine&, std::vector<std::string>, const Output&);
};

constexpr std::array kSubcommands = {
    Subcommand{"check", "Checks a manifest without any process.", &Check},
    Subcommand{"submit", "Submits a manifest to an entry.", &Submit},
    Subcommand{"status", "Shows the manifest in force.", &Status},
    Subcommand{"dump", "Shows a process's state.", &Dump},
    Subcommand{"events", "Tells what a numbered event means.", &Events},
};

ExitCode Usage(std::ostream& err) {
  err << "usage: wagtailshore SUBCOMMAND ...\n";
  for (const Subcommand& subcommand : kSubcommands) {
    err << "  " << subcommand.name << "\t" << subcommand.help << "\n";
  }
  return ExitCode::kUsage;
}

ExitCode RunOne(const Subcommand& subcommand,
                std::vector<std::string> arguments,
                const Output& output) {
  try {
    arguments.front() = common::StrCat("wagtailshore ", subcommand.name);
    TCLAP::CmdLine line(subcommand.help, '=', kVersion);
    line.setExceptionHandling(false);
    return subcommand.run(line, std::move(arguments), output);
  } catch (const TCLAP::ExitException&) {
    return ExitCode::kDone;
  } catch (const TCLAP::ArgException& error) {
    output.err << error.argId() << ": " << error.error() << "\n";
    return ExitCode::kUsage;
  }
}

}  // namespace

ExitCode Run(const std::vector<std::string>& arguments,
             std::ostream& out,
             std::ostream& err) {
  if (arguments.empty()) {
    return Usage(err);
  }
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.name == arguments.front()) {
      return RunOne(subcommand, arguments, {out, err});
    }
  }
  return Usage(err);
}

}  // namespace wagtailshore::commands
