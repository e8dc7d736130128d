#include "state/serving/route_table.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "common/strings.h"

namespace wagtailshore::serving {
namespace {

std::string HostKey(std::string_view host) {
  const size_t colon = host.rfind(':');
  return absl::AsciiStrToLower(common::AsAbsl(host.substr(0, colon)));
}

}  // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    routes_[HostKey(route.host)][route.prefix] = &route;
  }
  for (const Customer& customer : configuration_.customers) {
    for (const std::string& key : customer.keys) {
      customers_[key] = &customer;
    }
  }
  for (const Service& service : configuration_.services) {
    services_[service.name] = &service;
  }
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto found = routes_.find(HostKey(host));
  if (found == routes_.end()) {
    return nullptr;
  }
  path = path.substr(0, path.find_first_of("?#"));
  // Every prefix ends with a slash, so only the parts of the path up to one of
  // its slashes can match.
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = path.substr(0, end).rfind('/')) {
    const auto route = found->second.find(path.substr(0, end + 1));
    if (route != found->second.end()) {
      return route->second;
    }
    if (end == 0) {
      break;
    }
  }
  return nullptr;
}

const Customer* RouteTable::FindCustomer(const std::string& key) const {
  const auto found = customers_.find(key);
  return found == customers_.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace wagtailshore::serving
