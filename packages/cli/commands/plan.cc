#include <map>
#include <nlohmann/json.hpp>
#include <variant>

#include "cli/commands/admin_call.h"
#include "cli/commands/command_line.h"
#include "cli/commands/manifest_file.h"
#include "common/strings.h"
#include "protocol/manifest_codec/manifest_codec.h"

namespace wagtailshore::commands {
namespace {

using Json = nlohmann::json;

// One difference between two manifests.
struct Change {
  // "added", "removed" or "changed"
  std::string kind;
  // Path of the item or field, such as
  // "endpoints/badge-text-a/failure_domain".
  std::string place;
  Json before;
  Json after;
};

void CompareFields(const std::string& place,
                   const Json& before,
                   const Json& after,
                   std::vector<Change>& changes) {
  for (const auto& [field, value] : after.items()) {
    const Json old = before.value(field, Json());
    if (old != value) {
      changes.push_back(
          {"changed", common::StrCat(place, "/", field), old, value});
    }
  }
  for (const auto& [field, value] : before.items()) {
    if (!after.contains(field)) {
      changes.push_back(
          {"changed", common::StrCat(place, "/", field), value, Json()});
    }
  }
}

std::map<std::string, Json> ByName(const Json& items) {
  std::map<std::string, Json> by_name;
  for (const Json& item : items) {
    by_name[item.at("name")] = item;
  }
  return by_name;
}

void CompareItems(const std::string& array,
                  const Json& before,
                  const Json& after,
                  std::vector<Change>& changes) {
  const auto old_items = ByName(before);
  const auto new_items = ByName(after);
  for (const auto& [name, item] : new_items) {
    const std::string place = common::StrCat(array, "/", name);
    const auto old = old_items.find(name);
    if (old == old_items.end()) {
      changes.push_back({"added", place, Json(), Json()});
    } else {
      CompareFields(place, old->second, item, changes);
    }
  }
  for (const auto& [name, item] : old_items) {
    if (!new_items.contains(name)) {
      changes.push_back(
          {"removed", common::StrCat(array, "/", name), Json(), Json()});
    }
  }
}

std::vector<Change> Compare(const manifest::Manifest& before,
                            const manifest::Manifest& after) {
  const Json old_json = Json::parse(manifest_codec::Format(before));
  const Json new_json = Json::parse(manifest_codec::Format(after));
  std::vector<Change> changes;
  for (const char* array : {"groups", "services", "customers", "endpoints"}) {
    CompareItems(array, old_json.at(array), new_json.at(array), changes);
  }
  for (const char* field : {"phase", "end_date"}) {
    const Json old = old_json.value(field, Json());
    const Json value = new_json.value(field, Json());
    if (old != value) {
      changes.push_back({"changed", field, old, value});
    }
  }
  return changes;
}

void Print(const std::vector<Change>& changes,
           OutputFormat format,
           const Context& context) {
  Json list = Json::array();
  for (const Change& change : changes) {
    list.push_back({{"kind", change.kind}, {"place", change.place}});
    if (change.kind == "changed") {
      list.back()["before"] = change.before;
      list.back()["after"] = change.after;
    }
    if (format == OutputFormat::kText) {
      context.out << change.kind << " " << change.place;
      if (change.kind == "changed") {
        context.out << ": " << change.before << " -> " << change.after;
      }
      context.out << "\n";
    }
  }
  if (format == OutputFormat::kJson) {
    context.out << Json{{"changes", list}}.dump(2) << "\n";
  } else if (changes.empty()) {
    context.out << "no changes\n";
  }
}

// Fetches the manifest in force from an entry; "{}" if there is none yet,
// nothing if the entry did not return one.
std::optional<std::string> FetchManifestInForce(const std::string& address,
                                                const Context& context) {
  const auto reply =
      CallAdmin({.address = address, .path = "/manifest"}, context);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  if (reply->ok() && reply->json.is_object() &&
      reply->json.contains("manifest")) {
    return reply->json.at("manifest").dump();
  }
  const bool none_in_force =
      reply->json.is_object() && reply->json.contains("version");
  return none_in_force ? std::optional<std::string>("{}") : std::nullopt;
}

}  // namespace

ExitCode RunPlan(CommandLine& line, const Context& context) {
  TCLAP::UnlabeledValueArg<std::string> file("FILE", "the manifest", true, "",
                                             "file", line.parser());
  TCLAP::ValueArg<std::string> admin("", "admin", "an entry's admin address",
                                     true, "", "IP:port");
  TCLAP::ValueArg<std::string> against(
      "", "against",
      "file of another manifest to compare with, instead of the one in force",
      true, "", "file");
  line.parser().xorAdd(admin, against);
  line.Parse();
  const auto text = ReadFile(file.getValue(), context);
  if (!text.has_value()) {
    return ExitCode::kUsage;
  }
  const auto base = against.isSet()
                        ? ReadFile(against.getValue(), context)
                        : FetchManifestInForce(admin.getValue(), context);
  if (!base.has_value()) {
    return against.isSet() ? ExitCode::kUsage : ExitCode::kRefused;
  }
  const auto after = manifest_codec::Parse(*text);
  const auto before = manifest_codec::Parse(*base);
  for (const auto* parsed : {&after, &before}) {
    if (const auto* findings = std::get_if<common::Findings>(parsed)) {
      PrintFindings(*findings, line.format(), context);
      return ExitCode::kRefused;
    }
  }
  Print(Compare(std::get<manifest::Manifest>(before),
                std::get<manifest::Manifest>(after)),
        line.format(), context);
  return ExitCode::kDone;
}

}  // namespace wagtailshore::commands
