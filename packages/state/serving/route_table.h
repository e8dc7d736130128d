#ifndef STATE_SERVING_ROUTE_TABLE_H_
#define STATE_SERVING_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/serving/configuration.h"

namespace wagtailshore::serving {

// One version of the configuration, indexed for look-ups.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The route of that host whose prefix is the longest that begins the path, or
  // null. The host's port and case do not matter.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // The customer that holds the key, or null.
  const Customer* FindCustomer(const std::string& key) const;
  const Service* FindService(const std::string& name) const;

  // Whether requests of this route need a customer's key.
  bool NeedsKey(const Route& route) const {
    return !configuration_.customers.empty() && !route.open_to_all;
  }

  const Configuration& configuration() const { return configuration_; }
  uint64_t version() const { return configuration_.version; }

 private:
  Configuration configuration_;
  // By host, then prefix.
  std::unordered_map<std::string,
                     std::map<std::string, const Route*, std::less<>>>
      routes_;
  std::unordered_map<std::string, const Customer*> customers_;
  std::unordered_map<std::string, const Service*> services_;
};

}  // namespace wagtailshore::serving

#endif  // STATE_SERVING_ROUTE_TABLE_H_
