#include "cli/commands/admin_call.h"
#include "cli/commands/command_line.h"
#include "cli/commands/manifest_file.h"
#include "common/digest.h"
#include "common/strings.h"

namespace wagtailshore::commands {
namespace {

using Json = nlohmann::json;

// Formats the entry's answer to the submission as text.
std::string Describe(const AdminReply& reply) {
  const std::string outcome =
      reply.json.is_object() ? reply.json.value("outcome", "") : "";
  if (outcome == "accepted") {
    return common::StrCat("accepted as version ",
                          reply.json.value("version", uint64_t{0}), "\n");
  }
  if (outcome == "conflict") {
    return common::StrCat("conflict: version ",
                          reply.json.value("version", uint64_t{0}),
                          " is in force; compare with `wagtailshore plan`\n");
  }
  if (outcome == "findings") {
    std::string text;
    for (const Json& finding : reply.json.value("findings", Json::array())) {
      common::StrAppend(&text, finding.value("place", ""), ": ",
                        finding.value("message", ""), "\n");
    }
    return text;
  }
  return common::StrCat(
      outcome.empty() ? "refused" : outcome, ": ",
      outcome.empty() ? reply.body : reply.json.value("message", ""), "\n");
}

}  // namespace

ExitCode RunSubmit(CommandLine& line, const Context& context) {
  TCLAP::UnlabeledValueArg<std::string> file("FILE", "the manifest", true, "",
                                             "file", line.parser());
  TCLAP::ValueArg<std::string> base("", "base",
                                    "the version that the change is based on",
                                    true, "", "version", line.parser());
  TCLAP::ValueArg<std::string> admin("", "admin", "an entry's admin address",
                                     true, "", "IP:port", line.parser());
  line.Parse();
  const auto text = ReadFile(file.getValue(), context);
  if (!text.has_value()) {
    return ExitCode::kUsage;
  }
  // The identity depends only on the file and the base version, so that the
  // entry recognises a retry after a lost answer.
  const std::string identity =
      common::Sha256Hex(common::StrCat(base.getValue(), "\n", *text));
  const auto reply =
      CallAdmin({.address = admin.getValue(),
                 .method = "POST",
                 .path = common::StrCat("/manifest?base=", base.getValue(),
                                        "&submission=", identity),
                 .body = *text},
                context);
  if (!reply.has_value()) {
    return ExitCode::kRefused;
  }
  context.out << (line.format() == OutputFormat::kJson ? reply->body
                                                       : Describe(*reply));
  return reply->ok() ? ExitCode::kDone : ExitCode::kRefused;
}

}  // namespace wagtailshore::commands
