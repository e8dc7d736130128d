#ifndef CROWD_GATEWAY_PROCESS_H_
#define CROWD_GATEWAY_PROCESS_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "e2e/child_process.h"
#include "support/hosted_world.h"
#include "transport/http_channel/endpoint_pool.h"

namespace wagtailshore::crowd {

// The limits of the process, lowered so that a small crowd shows what is not
// counted against them.
inline constexpr size_t kMemoryMegabytes = 40;
inline constexpr size_t kMaxBodyBytes = size_t{1} << 20;
inline constexpr size_t kMaxDescriptors = 400;
inline constexpr int kOk = 200;

// The lines of a request's head behind the first, without its framing.
std::string RequestHeaders(const std::string& id);

struct ProcessLimits {
  size_t memory_megabytes = kMemoryMegabytes;
  size_t max_descriptors = kMaxDescriptors;
};

// A gateway process with a fake store and a sound endpoint of service "s".
class GatewayProcess {
 public:
  // Changes the store's contents before the process starts.
  using Prepare = std::function<void(hosted_world::FakeStore& store,
                                     nlohmann::json& configuration)>;

  // `loop` must outlive the process.
  explicit GatewayProcess(event_loop::EventLoop& loop,
                          const ProcessLimits& limits = {},
                          const Prepare& prepare = {});
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  event_loop::EventLoop& loop() { return loop_; }
  std::string address() const;

  // Runs the loop until `condition` holds, for `timeout` at most, and samples
  // the process meanwhile.
  bool RunUntil(const std::function<bool()>& condition,
                common::Duration timeout);
  // Sends one request to service "s" and returns the status of its answer, 0
  // without one.
  int Ask(const std::string& body);

  bool alive();
  size_t peak_resident_bytes() const;
  // The most that samples showed: resident memory together with what the
  // kernel holds unread, and descriptors.
  size_t peak_held_bytes() const { return peak_held_bytes_; }
  size_t peak_descriptors() const { return peak_descriptors_; }

 private:
  void Start();
  void Sample();

  ProcessLimits limits_;
  event_loop::EventLoop& loop_;
  hosted_world::FakeStore store_;
  hosted_world::FakeEndpoint endpoint_;
  http_channel::EndpointPool pool_;
  uint16_t port_ = 0;
  std::string folder_;
  std::unique_ptr<e2e::ChildProcess> process_;
  int asked_ = 0;
  size_t peak_held_bytes_ = 0;
  size_t peak_descriptors_ = 0;
};

}  // namespace wagtailshore::crowd

#endif  // CROWD_GATEWAY_PROCESS_H_
