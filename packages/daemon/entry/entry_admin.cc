#include "daemon/entry/entry_admin.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>

#include "absl/strings/numbers.h"
#include "common/digest.h"
#include "common/event_log.h"
#include "common/strings.h"
#include "coordination/rollout/submission.h"
#include "protocol/manifest_codec/manifest_codec.h"

namespace wagtailshore::entry {
namespace {

using Json = nlohmann::json;

http_server::FullResponse JsonResponse(int status, const Json& json) {
  return {.status = status, .body = json.dump(2) + "\n"};
}

http_server::FullResponse FindingsResponse(const common::Findings& findings) {
  Json list = Json::array();
  for (const common::Finding& finding : findings) {
    list.push_back({{"place", finding.place}, {"message", finding.message}});
  }
  return JsonResponse(400, {{"outcome", "findings"}, {"findings", list}});
}

// Runs the submission's table operations and returns its final action.
rollout::SubmissionAction RunSubmission(
    const platform_client::PlatformClient& platform,
    rollout::Submission& submission) {
  rollout::SubmissionAction action = submission.Start();
  while (true) {
    if (const auto* read = std::get_if<table::ReadRow>(&action)) {
      action = submission.OnRead(platform.Read(*read));
    } else if (const auto* write = std::get_if<table::WriteRow>(&action)) {
      action = submission.OnWrite(platform.Write(*write));
    } else {
      return action;
    }
  }
}

http_server::FullResponse Accept(node::Node& node,
                                 manifest::Manifest manifest,
                                 std::string body,
                                 std::string digest,
                                 uint64_t version) {
  manifest.version = version;
  auto accepted = std::make_shared<const rollout::VersionedManifest>(
      rollout::VersionedManifest{.manifest = std::move(manifest),
                                 .body = std::move(body),
                                 .digest = std::move(digest)});
  node.control().Call([&] { node.OfferManifest(accepted); });
  return JsonResponse(200, {{"outcome", "accepted"}, {"version", version}});
}

http_server::FullResponse Submit(node::Node& node,
                                 const http_server::Request& request) {
  const auto base = request.arguments.find("base");
  rollout::SubmissionOptions options;
  if (base == request.arguments.end() ||
      !absl::SimpleAtoi(base->second, &options.base_version)) {
    return FindingsResponse(
        {{"base", "must be the version that the change is based on"}});
  }
  auto parsed = manifest_codec::Parse(request.body);
  if (const auto* findings = std::get_if<common::Findings>(&parsed)) {
    common::LogEvent(common::EventId::kManifestRefused,
                     common::StrCat("findings=", findings->size()));
    return FindingsResponse(*findings);
  }
  options.digest = common::Sha256Hex(request.body);
  const auto identity = request.arguments.find("submission");
  options.token = identity == request.arguments.end()
                      ? common::RandomId()
                      : common::Sha256Hex(identity->second);
  const absl::Status stored = node.platform().PutObject(
      rollout::ManifestObjectName(options.digest), request.body);
  if (!stored.ok()) {
    return JsonResponse(503,
                        {{"outcome", "not_accepted"},
                         {"message", "the object store is not available"}});
  }
  rollout::Submission submission(options);
  const auto outcome = RunSubmission(node.platform(), submission);
  if (const auto* accepted = std::get_if<rollout::Accepted>(&outcome)) {
    return Accept(node, std::get<manifest::Manifest>(std::move(parsed)),
                  request.body, options.digest, accepted->version);
  }
  if (const auto* conflict = std::get_if<rollout::Conflict>(&outcome)) {
    common::LogEvent(common::EventId::kManifestConflict,
                     common::StrCat("base=", options.base_version,
                                    " current=", conflict->current_version));
    return JsonResponse(409, {{"outcome", "conflict"},
                              {"version", conflict->current_version},
                              {"digest", conflict->current_digest}});
  }
  return JsonResponse(
      503, {{"outcome", "unknown"},
            {"message", "submit again with the same submission identity"}});
}

http_server::FullResponse Current(node::Node& node) {
  const auto current =
      node.control().Call([&] { return node.manifests().current(); });
  if (current == nullptr) {
    return JsonResponse(404, {{"version", 0}});
  }
  return JsonResponse(200, {{"version", current->manifest.version},
                            {"digest", current->digest},
                            {"manifest", Json::parse(current->body)}});
}

}  // namespace

std::optional<http_server::Response> OnAdminRequest(
    node::Node& node,
    const http_server::Request& request) {
  if (request.path != "/manifest") {
    return std::nullopt;
  }
  if (request.method == "POST") {
    return Submit(node, request);
  }
  return Current(node);
}

}  // namespace wagtailshore::entry
