#include "transport/http_channel/channel_server.h"

#include <unistd.h>

#include <utility>

namespace wagtailshore::http_channel {

ChannelServer::ChannelServer(event_loop::EventLoop& loop,
                             RequestHandler& handler,
                             ChannelLimiter& limiter,
                             OptionsSource options)
    : loop_(loop),
      handler_(handler),
      limiter_(limiter),
      options_(std::move(options)) {}

absl::Status ChannelServer::Listen(const std::string& address) {
  auto listener = stream_socket::Listener::Open(
      loop_, address, [this](int descriptor) { Accept(descriptor); });
  if (!listener.ok()) {
    return listener.status();
  }
  listeners_.push_back(*std::move(listener));
  return absl::OkStatus();
}

void ChannelServer::Accept(int descriptor) {
  const auto client = limiter_.Open();
  if (!client.has_value()) {
    close(descriptor);
    return;
  }
  auto channel = std::make_unique<CallerChannel>(
      loop_, descriptor, handler_, limiter_, *client, options_(),
      [this](CallerChannel& closed) {
        // The channel is still running this callback, so it is destroyed later.
        loop_.Post([this, gone = &closed] { channels_.erase(gone); });
      });
  channels_.emplace(channel.get(), std::move(channel));
}

void ChannelServer::CloseWhenIdle() {
  for (auto& [key, channel] : channels_) {
    channel->CloseWhenIdle();
  }
}

}  // namespace wagtailshore::http_channel
