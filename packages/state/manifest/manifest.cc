#include "state/manifest/manifest.h"

#include <algorithm>
#include <set>

#include "common/digest.h"
#include "common/strings.h"

namespace wagtailshore::manifest {
namespace {

constexpr size_t kSha256HexDigits = 64;
constexpr std::string_view kEmptyKeySha256 =
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
constexpr int kMaxRanks = 4096;
constexpr int kMaxExperts = 4096;
constexpr int kMaxLayers = 1024;
constexpr double kMaxRequestsPerSecond = 1e6;

// Collects the findings of one manifest.
class Checker {
 public:
  explicit Checker(const Manifest& manifest) : manifest_(manifest) {}

  common::Findings Run() {
    CheckUniqueNames("/groups", manifest_.groups);
    CheckUniqueNames("/services", manifest_.services);
    CheckUniqueNames("/customers", manifest_.customers);
    CheckUniqueNames("/endpoints", manifest_.endpoints);
    CheckGroups();
    CheckCustomers();
    CheckEndpoints();
    return std::move(findings_);
  }

 private:
  void Report(std::string place, std::string message) {
    findings_.push_back({std::move(place), std::move(message)});
  }

  template <typename Items>
  void CheckUniqueNames(std::string_view array, const Items& items) {
    std::set<std::string_view> seen;
    for (size_t i = 0; i < items.size(); ++i) {
      const std::string place = common::StrCat(array, "/", i, "/name");
      if (items[i].name.empty()) {
        Report(place, "must not be empty");
      } else if (!seen.insert(items[i].name).second) {
        Report(place, common::StrCat("\"", items[i].name,
                                     "\" appears more than once"));
      }
    }
  }

  template <typename Number>
  void CheckRange(const std::string& place,
                  Number value,
                  Number low,
                  Number high) {
    // Negated so that NaN is out of range.
    if (!(value >= low && value <= high)) {
      Report(place, common::StrCat("must be between ", low, " and ", high,
                                   ", is ", value));
    }
  }

  void CheckGroups() {
    for (size_t i = 0; i < manifest_.groups.size(); ++i) {
      const ModelGroup& group = manifest_.groups[i];
      const std::string place = common::StrCat("/groups/", i);
      if (group.model.empty()) {
        Report(place + "/model", "must not be empty");
      }
      CheckRange(place + "/ranks", group.ranks, 1, kMaxRanks);
      CheckRange(place + "/layers", group.layers, 1, kMaxLayers);
      CheckRange(place + "/experts", group.experts, 1, kMaxExperts);
      CheckRange(place + "/slots_per_rank", group.slots_per_rank, 1,
                 kMaxExperts);
      CheckRange(place + "/skew_weight", group.skew_weight, 0.0, 1e6);
      CheckRange(place + "/cost_weight", group.cost_weight, 0.0, 1e6);
      if (int64_t{group.slots_per_rank} * group.ranks < group.experts) {
        Report(place + "/slots_per_rank",
               "all ranks together must have a slot for every expert");
      }
    }
  }

  void CheckCustomers() {
    std::set<std::string_view> hashes;
    for (size_t i = 0; i < manifest_.customers.size(); ++i) {
      const Customer& customer = manifest_.customers[i];
      const std::string place = common::StrCat("/customers/", i);
      const bool hexadecimal = std::all_of(
          customer.key_sha256.begin(), customer.key_sha256.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
          });
      if (customer.key_sha256.size() != kSha256HexDigits || !hexadecimal) {
        Report(place + "/key_sha256", "must be 64 lower-case hex digits");
      } else if (customer.key_sha256 == kEmptyKeySha256) {
        Report(place + "/key_sha256", "is the hash of an empty key");
      } else if (!hashes.insert(customer.key_sha256).second) {
        Report(place + "/key_sha256", "another customer has the same key");
      }
      CheckRange(place + "/requests_per_second", customer.requests_per_second,
                 0.0, kMaxRequestsPerSecond);
    }
  }

  void CheckEndpoints() {
    for (size_t i = 0; i < manifest_.endpoints.size(); ++i) {
      const Endpoint& endpoint = manifest_.endpoints[i];
      const std::string place = common::StrCat("/endpoints/", i);
      if (endpoint.failure_domain.empty()) {
        Report(place + "/failure_domain", "must not be empty");
      }
      CheckAddress(place + "/traffic_address", endpoint.traffic_address);
      CheckAddress(place + "/peer_address", endpoint.peer_address);
      std::visit([&](const auto& duty) { CheckDuty(place, duty); },
                 endpoint.duty);
    }
  }

  void CheckAddress(std::string place, const std::string& address) {
    if (address.find(':') == std::string::npos) {
      Report(std::move(place), "must be \"IP:port\"");
    } else if (!addresses_.insert(address).second) {
      Report(std::move(place),
             common::StrCat("\"", address, "\" appears more than once"));
    }
  }

  void CheckDuty(const std::string& place, const GroupRank& duty) {
    const auto group = std::find_if(
        manifest_.groups.begin(), manifest_.groups.end(),
        [&](const ModelGroup& item) { return item.name == duty.group; });
    if (group == manifest_.groups.end()) {
      Report(place + "/group",
             common::StrCat("no group has the name \"", duty.group, "\""));
      return;
    }
    CheckRange(place + "/rank", duty.rank, 0, group->ranks - 1);
    if (!ranks_.insert({duty.group, duty.rank}).second) {
      Report(place + "/rank", "another endpoint serves the same rank");
    }
  }

  void CheckDuty(const std::string& place, const ServiceReplica& duty) {
    if (FindService(manifest_, duty.service) == nullptr) {
      Report(place + "/service",
             common::StrCat("no service has the name \"", duty.service, "\""));
    }
  }

  const Manifest& manifest_;
  common::Findings findings_;
  std::set<std::string> addresses_;
  std::set<std::pair<std::string, int>> ranks_;
};

}  // namespace

common::Findings Check(const Manifest& manifest) {
  return Checker(manifest).Run();
}

const Service* FindService(const Manifest& manifest, std::string_view name) {
  for (const Service& service : manifest.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

bool IsNonIdempotent(const Service& service, std::string_view call) {
  return std::find(service.non_idempotent_calls.begin(),
                   service.non_idempotent_calls.end(),
                   call) != service.non_idempotent_calls.end();
}

std::string_view ModelOf(const Manifest& manifest, const Endpoint& endpoint) {
  const auto* duty = std::get_if<GroupRank>(&endpoint.duty);
  if (duty == nullptr) {
    return {};
  }
  for (const ModelGroup& group : manifest.groups) {
    if (group.name == duty->group) {
      return group.model;
    }
  }
  return {};
}

}  // namespace wagtailshore::manifest
