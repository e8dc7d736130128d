#include "transport/http_channel/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace wagtailshore::http_channel {

EndpointChannel& EndpointPool::Acquire(const std::string& key,
                                       const std::string& address) {
  Channels& channels = channels_[key];
  const common::Time now = loop_.Now();
  std::vector<EndpointChannel*> expired;
  EndpointChannel* found = nullptr;
  for (const auto& channel : channels) {
    if (!channel->idle()) {
      continue;
    }
    if (!channel->IsReusable(now)) {
      expired.push_back(channel.get());
    } else if (found == nullptr || channel->heard_at() >= found->heard_at()) {
      found = channel.get();
    }
  }
  for (EndpointChannel* channel : expired) {
    channel->Abandon();
  }
  if (found != nullptr) {
    return *found;
  }
  return Open(key, address);
}

EndpointChannel& EndpointPool::Open(const std::string& key,
                                    const std::string& address) {
  if (channel_count_ >= max_channels_) {
    CloseOneIdle();
  }
  ++opened_;
  ++channel_count_;
  Channels& channels = channels_[key];
  channels.push_back(std::make_unique<EndpointChannel>(
      loop_, address, options_,
      [this, key](EndpointChannel& channel) { OnStateChange(key, channel); }));
  return *channels.back();
}

void EndpointPool::CloseOneIdle() {
  EndpointChannel* found = nullptr;
  for (const auto& [key, channels] : channels_) {
    for (const auto& channel : channels) {
      if (channel->idle() &&
          (found == nullptr || channel->heard_at() < found->heard_at())) {
        found = channel.get();
      }
    }
  }
  if (found != nullptr) {
    found->Abandon();
  }
}

size_t EndpointPool::CloseSilent(const std::string& key, common::Time since) {
  const auto found = channels_.find(key);
  if (found == channels_.end()) {
    return 0;
  }
  // Collected first, as a failing exchange may open connections.
  std::vector<EndpointChannel*> silent;
  for (const auto& channel : found->second) {
    if (channel->open() && channel->heard_at() < since) {
      silent.push_back(channel.get());
    }
  }
  for (EndpointChannel* channel : silent) {
    channel->CloseSilent();
  }
  return silent.size();
}

void EndpointPool::OnStateChange(const std::string& key,
                                 EndpointChannel& channel) {
  if (!channel.open()) {
    // The channel is still running this callback, so it is destroyed later.
    loop_.Post([this, key, gone = &channel] { Remove(key, *gone); });
  }
}

void EndpointPool::Remove(const std::string& key,
                          const EndpointChannel& channel) {
  const auto found = channels_.find(key);
  if (found == channels_.end()) {
    return;
  }
  channel_count_ -= std::erase_if(
      found->second, [&](const auto& item) { return item.get() == &channel; });
  if (found->second.empty()) {
    channels_.erase(found);
  }
}

}  // namespace wagtailshore::http_channel
