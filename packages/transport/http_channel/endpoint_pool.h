#ifndef TRANSPORT_HTTP_CHANNEL_ENDPOINT_POOL_H_
#define TRANSPORT_HTTP_CHANNEL_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_channel/endpoint_channel.h"

namespace wagtailshore::http_channel {

// Connections to endpoints, kept for reuse.
class EndpointPool {
 public:
  EndpointPool(event_loop::EventLoop& loop,
               stream_socket::StreamOptions options)
      : loop_(loop), options_(options) {}
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // A connection without an exchange to that endpoint, kept or new. `key` names
  // the endpoint's process; connections of another one are never used for it.
  EndpointChannel& Acquire(const std::string& key, const std::string& address);

  uint64_t opened() const { return opened_; }

 private:
  using Channels = std::vector<std::unique_ptr<EndpointChannel>>;

  void OnState(const std::string& key, EndpointChannel& channel);
  void Remove(const std::string& key, const EndpointChannel& channel);

  event_loop::EventLoop& loop_;
  stream_socket::StreamOptions options_;
  std::map<std::string, Channels> channels_;
  uint64_t opened_ = 0;
};

}  // namespace wagtailshore::http_channel

#endif  // TRANSPORT_HTTP_CHANNEL_ENDPOINT_POOL_H_
