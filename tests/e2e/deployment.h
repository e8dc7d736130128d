#ifndef E2E_DEPLOYMENT_H_
#define E2E_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"
#include "e2e/child_process.h"
#include "state/manifest/manifest.h"

namespace wagtailshore::e2e {

// API keys of the customers "one" and "two" in the manifest.
inline constexpr char kCustomerKey[] = "key-of-one";
inline constexpr char kOtherCustomerKey[] = "key-of-two";

struct DeploymentOptions {
  // Time that the engine stand-ins take per token.
  common::Duration token_time = common::milliseconds(20);
  // Time that the service stand-in takes per call.
  common::Duration call_time = common::milliseconds(0);
  // How long an entry waits for the next frame of a stream.
  common::Duration progress_timeout = common::seconds(1);
  // Further flags of the entries.
  std::vector<std::string> entry_flags;
};

// Runs real processes on loopback addresses that are derived from the test's
// process id: a platform stand-in, one service stand-in for all printing
// endpoints, and in each of the failure domains d1, d2 and d3 an entry
// (entry1...), a model endpoint (model1...) with its engine stand-in
// (engine1...) and a printing endpoint (print1...).
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);

  // Starts all processes, submits the base manifest and waits until every entry
  // is ready.
  absl::Status Start();

  // Returns the process called `name`, or null.
  ChildProcess* Find(const std::string& name);
  // Kills the process if it still runs, and starts it again at the same
  // addresses. If `new_name` is not empty, it starts as an instance of that
  // name.
  absl::Status Restart(const std::string& name, const std::string& new_name);

  std::string CallerUrl(const std::string& entry) const;
  std::string AdminUrl(const std::string& name) const;
  // "IP:port" on which an entry accepts callers, or an endpoint attempts.
  std::string TrafficAddress(const std::string& name) const;
  std::string StandinUrl(const std::string& name) const;
  // The folder with one log file per process.
  const std::string& log_folder() const { return log_folder_; }

  // Submits `manifest`, based on version `base`, through the entry. Returns the
  // JSON text of the reply, or the reply's body as an error when it was
  // refused.
  absl::StatusOr<std::string> Submit(const std::string& entry,
                                     uint64_t base,
                                     const manifest::Manifest& manifest) const;
  // Returns the manifest that lists all processes of the deployment.
  manifest::Manifest BaseManifest() const;

 private:
  std::string Address(const std::string& name, int port) const;
  void Launch(const std::string& name, const std::string& new_name = "");
  std::vector<std::string> CommandFor(const std::string& name) const;
  std::vector<std::string> DaemonCommand(const std::string& name,
                                         const std::string& role) const;

  DeploymentOptions options_;
  std::string log_folder_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

// Polls GET `url` until it returns status 200. Returns false after `timeout`.
bool WaitUntilOk(const std::string& url, common::Duration timeout);

}  // namespace wagtailshore::e2e

#endif  // E2E_DEPLOYMENT_H_
