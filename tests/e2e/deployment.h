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

// The customers' keys in the deployment's manifest.
inline constexpr char kCustomerKey[] = "key-of-one";
inline constexpr char kOtherCustomerKey[] = "key-of-two";

struct DeploymentOptions {
  // Time that the engine stand-ins take per token.
  common::Duration token_time = common::milliseconds(20);
  // Time that the service stand-in takes per call.
  common::Duration call_time = common::milliseconds(0);
  // Longest wait of an entry for a stream's next frame.
  common::Duration progress_timeout = common::seconds(1);
};

// Real processes on loopback addresses of this test's own: the platform, and
// in each of the failure domains d1, d2 and d3 an entry (entry1...), a model
// endpoint (model1...) with its engine (engine1...) and a printing endpoint
// (print1...); one service stand-in for all printing endpoints.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);

  // Starts everything, submits the first manifest and waits until every entry
  // has it.
  absl::Status Start();

  // The process called `name`, or null.
  ChildProcess* Find(const std::string& name);
  // Ends the process, if it still runs, and starts it anew at the same
  // addresses; as another instance if `new_name` is not empty.
  absl::Status Restart(const std::string& name, const std::string& new_name);

  std::string CallerUrl(const std::string& entry) const;
  std::string AdminUrl(const std::string& name) const;
  std::string StandinUrl(const std::string& name) const;
  // Every process's log, in one folder.
  const std::string& log_folder() const { return log_folder_; }

  // Submits `manifest` through the entry; the reply's JSON text.
  absl::StatusOr<std::string> Submit(const std::string& entry,
                                     uint64_t base,
                                     const manifest::Manifest& manifest) const;
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

// Waits until GET `url` answers 200; false after `timeout`.
bool WaitUntilOk(const std::string& url, common::Duration timeout);

}  // namespace wagtailshore::e2e

#endif  // E2E_DEPLOYMENT_H_
