#ifndef TRANSPORT_HTTP_CHANNEL_ENDPOINT_POOL_H_
#define TRANSPORT_HTTP_CHANNEL_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_channel/endpoint_channel.h"

namespace wagtailshore::http_channel {

// Keeps connections to endpoints open for reuse.
class EndpointPool {
 public:
  // Idle connections are closed when there are `max_channels`; those that carry
  // exchanges may be more.
  EndpointPool(event_loop::EventLoop& loop,
               stream_socket::StreamOptions options,
               size_t max_channels = SIZE_MAX)
      : loop_(loop), options_(options), max_channels_(max_channels) {}
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // Returns an idle connection to the endpoint at `address`, "IP:port", reused
  // or new: the one that was heard last, as it is the least likely to have gone
  // silent. `key` identifies the endpoint's process; a connection is only
  // reused for the key that it was opened for.
  EndpointChannel& Acquire(const std::string& key, const std::string& address);
  // Returns a new connection. For a request that failed on a reused one.
  EndpointChannel& Open(const std::string& key, const std::string& address);

  // Closes all connections for `key` from which nothing was received since
  // `since`: one that was open then has proved silent, and what silenced it may
  // have silenced these. Exchanges on them fail. Returns the number of
  // connections.
  size_t CloseSilent(const std::string& key, common::Time since);

  // Number of connections opened so far.
  uint64_t opened() const { return opened_; }

 private:
  using Channels = std::vector<std::unique_ptr<EndpointChannel>>;

  // Closes the idle connection that has been silent longest, if any.
  void CloseOneIdle();
  void OnStateChange(const std::string& key, EndpointChannel& channel);
  void Remove(const std::string& key, const EndpointChannel& channel);

  event_loop::EventLoop& loop_;
  stream_socket::StreamOptions options_;
  size_t max_channels_;
  std::map<std::string, Channels> channels_;
  uint64_t opened_ = 0;
  size_t channel_count_ = 0;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_ENDPOINT_POOL_H_
