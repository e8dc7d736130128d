#ifndef STATE_SERVING_ROUTE_TABLE_H_
#define STATE_SERVING_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/serving/configuration.h"

namespace wagtailshore::serving {

// Indexes one version of the configuration for look-ups.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the route of the host with the longest prefix of the path, or null.
  // The port and the case of the host are ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the customer with this key, or null.
  const Customer* FindCustomer(const std::string& key) const;
  const Service* FindService(const std::string& name) const;

  // Whether requests of this route need a customer's key.
  bool NeedsKey(const Route& route) const {
    return configuration_.needs_keys && !route.open_to_all;
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
