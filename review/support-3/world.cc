#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {
namespace {

constexpr char kDaemon[] = "target/packages/daemon/wagtailshored";

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

std::string Base64(std::string_view text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    const size_t size = std::min<size_t>(3, text.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      group = (group << 8) | (j < size ? static_cast<uint8_t>(text[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += j <= size ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return out;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::istringstream words(target.substr(mark + 1));
  for (std::string word; std::getline(words, word, '&');) {
    const size_t equals = word.find('=');
    if (equals != std::string::npos) {
      query[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  return query;
}

}  // namespace

bool Trouble() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - start_);
  file_ << at.count() << " ms " << line << std::endl;
}

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

std::string Message::Method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::Target() const {
  const size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int Message::Status() const {
  return first_line.size() > 9 ? atoi(first_line.c_str() + 9) : 0;
}

Connection::~Connection() {
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

std::unique_ptr<Connection> Connection::Open(uint16_t port, int receive_bytes) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(descriptor);
  if (receive_bytes > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  const sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::Send(std::string_view data) {
  while (!data.empty()) {
    const ssize_t sent =
        send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    data.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool Connection::Fill(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      until - Clock::now());
  pollfd state{.fd = descriptor_, .events = POLLIN, .revents = 0};
  if (left.count() < 0 ||
      poll(&state, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  char data[65536];
  const ssize_t received = recv(descriptor_, data, sizeof(data), 0);
  if (received <= 0) {
    return false;
  }
  buffer_.append(data, static_cast<size_t>(received));
  return true;
}

bool Connection::ReadHead(Message& message, double timeout_s) {
  const auto until =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(timeout_s));
  message = {};
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  std::istringstream lines(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const size_t colon = line.find(':');
    if (message.first_line.empty()) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      const size_t begin = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          begin == std::string::npos ? "" : line.substr(begin));
    }
  }
  return true;
}

bool Connection::ReadBody(Message& message,
                          bool is_response,
                          double timeout_s) {
  const auto until =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(timeout_s));
  const std::string length = message.Header("Content-Length");
  if (!length.empty()) {
    const size_t size = std::stoul(length);
    while (buffer_.size() < size) {
      if (!Fill(until)) {
        message.body = std::exchange(buffer_, {});
        return false;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }
  if (message.Header("Transfer-Encoding") == "chunked") {
    while (true) {
      size_t line = 0;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const size_t size = std::stoul(buffer_.substr(0, line), nullptr, 16);
      while (buffer_.size() < line + 2 + size + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      message.body += buffer_.substr(line + 2, size);
      buffer_.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  if (!is_response) {
    return true;
  }
  while (Fill(until)) {
  }
  message.body = std::exchange(buffer_, {});
  return true;
}

bool Connection::PeerClosed() const {
  pollfd state{.fd = descriptor_, .events = POLLRDHUP, .revents = 0};
  return poll(&state, 1, 0) > 0;
}

void Connection::Reset() {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(std::exchange(descriptor_, -1));
}

std::string FormatResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    std::string_view body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    out += name + ": " + value + "\r\n";
  }
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  out += body;
  return out;
}

Listener::Listener(Handler handler)
    : handler_(std::move(handler)),
      descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(descriptor_, 4096) != 0) {
    std::cerr << "cannot listen\n";
    exit(kCouldNotRun);
  }
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  std::thread([this] {
    while (true) {
      const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, accepted] {
        Connection connection(accepted);
        handler_(connection);
      }).detach();
    }
  }).detach();
}

std::string Listener::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

uint16_t FreePort() {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  close(descriptor);
  return ntohs(address.sin_port);
}

Store::Store() : listener_([this](Connection& c) { Serve(c); }) {
  // Servers check in.
  std::thread([this] {
    while (true) {
      Sleep(1.2);
      const std::lock_guard<std::mutex> lock(mutex_);
      for (auto& [id, entry] : servers_) {
        entry["sequence"] = entry["sequence"].get<int64_t>() + 1;
        Put("servers", id, entry.dump());
      }
      changed_.notify_all();
    }
  }).detach();
}

void Store::SetConfig(const json& config) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Put("op", "config", config.dump());
  changed_.notify_all();
}

void Store::SetServer(const std::string& id, const json& entry) {
  const std::lock_guard<std::mutex> lock(mutex_);
  servers_[id] = entry;
  Put("servers", id, entry.dump());
  changed_.notify_all();
}

void Store::RemoveServer(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  servers_.erase(id);
  Row& row = rows_[{"servers", id}];
  row = {.value = "", .version = ++version_, .deleted = true};
  changed_.notify_all();
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  rows_[{table, key}] = {.value = Base64(value), .version = ++version_};
}

json Store::Rows(const std::string& table, uint64_t after, bool with_deleted) {
  std::vector<std::pair<uint64_t, json>> found;
  for (const auto& [key, row] : rows_) {
    if (key.first != table || row.version <= after ||
        (row.deleted && !with_deleted)) {
      continue;
    }
    json item = {{"table", table},
                 {"part", ""},
                 {"key", key.second},
                 {"row_version", row.version}};
    if (row.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = row.value;
    }
    found.emplace_back(row.version, item);
  }
  if (with_deleted) {
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
  }
  json rows = json::array();
  for (const auto& [version, item] : found) {
    rows.push_back(item);
  }
  return rows;
}

std::string Store::Answer(const Message& request, int& status) {
  const std::string target = request.Target();
  auto query = QueryOf(target);
  std::unique_lock<std::mutex> lock(mutex_);
  const auto now_ms = [this] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 start_)
               .count() +
           1000;
  };
  json answer = json::object();
  status = 200;
  if (target.starts_with("/rows-get")) {
    answer["rows"] = Rows(query["table"], 0, /*with_deleted=*/false);
    answer["has_more"] = false;
  } else if (target.starts_with("/rows-feed")) {
    const uint64_t after = std::stoull(query["after_revision"]);
    const auto wait = std::chrono::milliseconds(std::stoll(query["wait_ms"]));
    json rows;
    changed_.wait_for(lock, wait, [&] {
      rows = Rows(query["table"], after, /*with_deleted=*/true);
      return !rows.empty();
    });
    answer["rows"] = rows;
  } else if (target.starts_with("/rows-tx")) {
    const json call = json::parse(request.body);
    for (const json& expected : call["expected_revision"]) {
      const auto found = rows_.find({expected["table"], expected["key"]});
      const uint64_t version = found == rows_.end() || found->second.deleted
                                   ? 0
                                   : found->second.version;
      if (version != expected["row_version"].get<uint64_t>()) {
        status = 412;
      }
    }
    for (const char* list : {"puts", "remove"}) {
      for (const json& item : call[list]) {
        if (item["table"] == "op" || item["table"] == "servers") {
          status = 403;
        }
      }
    }
    if (status == 200) {
      const uint64_t version = ++version_;
      for (const json& put : call["puts"]) {
        rows_[{put["table"], put["key"]}] = {.value = put["value"],
                                             .version = version};
      }
      for (const json& removed : call["remove"]) {
        const auto found = rows_.find({removed["table"], removed["key"]});
        if (found != rows_.end()) {
          found->second = {.value = "", .version = version, .deleted = true};
        }
      }
      changed_.notify_all();
    } else {
      answer["rows"] = json::array();
      for (const json& expected : call["expected_revision"]) {
        for (const json& row : Rows(expected["table"], 0, false)) {
          if (row["key"] == expected["key"]) {
            answer["rows"].push_back(row);
          }
        }
      }
    }
  } else {
    status = 404;
  }
  answer["row_version"] = version_;
  answer["now_ms"] = now_ms();
  return answer.dump();
}

void Store::Serve(Connection& connection) {
  Message request;
  while (connection.ReadHead(request, 3600) &&
         connection.ReadBody(request, /*is_response=*/false)) {
    int status = 0;
    const std::string body = Answer(request, status);
    Sleep(0.004);
    if (!connection.Send(FormatResponse(
            status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
            body))) {
      return;
    }
  }
}

json BaseConfig() {
  return {{"version", 7},
          {"routes", json::array()},
          {"services",
           {{{"name", "desk"},
             {"health_path", "/healthz"},
             {"max_connections", 1000},
             {"protocol", "h1"},
             {"tls", false}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "tenant"}, {"api_keys", {"key"}}, {"priority", 1}}}}};
}

json ServerEntry(const std::string& service, const std::string& address) {
  return {{"service", service},
          {"address", address},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 100},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"sequence", 1},
          {"born", UnixMilliseconds()}};
}

json BaseSettings(const std::string& name, const std::string& store) {
  return {{"node_name", name},
          {"ip", "127.0.0.1"},
          {"zone", "zone-a"},
          {"region", "region"},
          {"zones", {{"zone-a", "region"}}},
          {"seeds", json::array()},
          {"bootstrap", true},
          {"discovery", "platform"},
          {"heartbeat_ms", 1200},
          {"listen", json::object()},
          {"limits",
           {{"cpu_share", 0.25},
            {"cores", 1},
            {"memory_mb", 260},
            {"max_fds", 4200},
            {"link_mbps", 1000.0},
            {"disk_mb", 0}}},
          {"bounds",
           {{"seed_lag_s", 3},
            {"reuse_after_s", 2},
            {"stability_window_ms", 3000},
            {"drain_ms", 2000},
            {"grace_s", 8},
            {"loss_slack_ms", 200},
            {"config_apply_ms", 2000},
            {"revoke_strict", true},
            {"revoke_ms", 5000},
            {"retry_budget_ratio", 0.2},
            {"budget_window_s", 10},
            {"retry_allowance", 88},
            {"fencing_enforced", true}}},
          {"platform", {{"address", store}, {"form", "table"}}}};
}

Process::Process(const json& settings, const std::vector<std::string>& words) {
  std::string folder = "/tmp/review-3-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr || access(kDaemon, X_OK) != 0) {
    std::cerr << "no temporary folder, or the daemon is not built\n";
    exit(kCouldNotRun);
  }
  folder_ = folder;
  const std::string path = folder_ + "/local.toml";
  std::ofstream(path) << settings.dump();
  const std::string log = folder_ + "/log";
  std::vector<std::string> arguments = {kDaemon};
  arguments.insert(arguments.end(), words.begin(), words.end());
  std::vector<char*> argv;
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  std::string variable = "WAGTAILSHORE_SETTINGS=" + path;
  const char* home = getenv("HOME");
  std::string home_variable = std::string("HOME=") + (home ? home : "/");
  std::string path_variable = "PATH=/usr/bin:/bin";
  char* environment[] = {variable.data(), home_variable.data(),
                         path_variable.data(), nullptr};
  pid_ = fork();
  if (pid_ == 0) {
    // No process outlives the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(kDaemon, argv.data(), environment);
    _exit(127);
  }
}

Process::~Process() {
  if (!ended().has_value()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  const char* keep = getenv("KEEP_LOGS");
  if (keep == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    std::cerr << "log: " << folder_ << "\n";
  }
}

void Process::Signal(int signal) {
  if (!status_.has_value()) {
    kill(pid_, signal);
  }
}

std::optional<int> Process::ended() {
  int status = 0;
  if (!status_.has_value() && waitpid(pid_, &status, WNOHANG) == pid_) {
    status_ = status;
  }
  return status_;
}

std::string Process::LogTail(size_t bytes) const {
  std::ifstream file(folder_ + "/log");
  std::string text(std::istreambuf_iterator<char>(file), {});
  return text.size() > bytes ? text.substr(text.size() - bytes) : text;
}

void Gateway::Start(const std::string& name, const std::string& store) {
  json settings = BaseSettings(name, store);
  settings["role"] = "gateway";
  settings["machine_class"] = "edge";
  settings["serves"] = {"edge"};
  settings["listen"] = {{"front", "127.0.0.1:" + std::to_string(port)},
                        {"ready", "127.0.0.1:" + std::to_string(ready_port)}};
  process = std::make_unique<Process>(
      settings, std::vector<std::string>{"--role=gateway",
                                         "--metrics-address=127.0.0.1:" +
                                             std::to_string(metrics_port)});
}

bool Gateway::AwaitReady(double timeout_s) {
  const auto until =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(timeout_s));
  while (Clock::now() < until) {
    const auto connection = Connection::Open(ready_port);
    Message answer;
    if (connection != nullptr &&
        connection->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        connection->ReadHead(answer, 1) && answer.Status() == 200) {
      return true;
    }
    Sleep(0.1);
  }
  return false;
}

}  // namespace review
