#ifndef REVIEW_SUPPORT_3_WORLD_H_
#define REVIEW_SUPPORT_3_WORLD_H_

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the platform's store, for servers and for consumers, and the
// system's own processes, on loopback addresses and the real clock.
namespace review {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Whether the disruption is part of the run.
bool Trouble();
void Sleep(double seconds);
int64_t UnixMilliseconds();

// Writes record.txt: one line for each request, answer and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Empty if absent; the name's case does not matter.
  std::string Header(std::string_view name) const;
  std::string Method() const;
  std::string Target() const;
  // Of a response; 0 if there is none.
  int Status() const;
};

// A blocking connection.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if the port does not accept.
  static std::unique_ptr<Connection> Open(uint16_t port, int receive_bytes = 0);

  bool Send(std::string_view data);
  // Reads a head; false at the end of the stream, a reset or the timeout.
  bool ReadHead(Message& message, double timeout_s = 60);
  // Reads the body that the head announces: with a length or in chunks. A
  // response without either ends with the connection.
  bool ReadBody(Message& message, bool is_response, double timeout_s = 60);
  // Whether the peer has closed or reset the connection.
  bool PeerClosed() const;
  void Reset();
  int descriptor() const { return descriptor_; }

 private:
  bool Fill(Clock::time_point until);

  int descriptor_;
  std::string buffer_;
};

std::string FormatResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    std::string_view body);

// Accepts connections on a free loopback port and runs the handler for each in
// a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Listener(Handler handler);
  uint16_t port() const { return port_; }
  std::string address() const;

 private:
  Handler handler_;
  int descriptor_;
  uint16_t port_ = 0;
};

uint16_t FreePort();

// The platform's metadata store, for rows with an empty part.
class Store {
 public:
  Store();
  std::string address() const { return listener_.address(); }
  // The operator's config.
  void SetConfig(const json& config);
  // A server's entry, which is renewed as by a server that lives.
  void SetServer(const std::string& id, const json& entry);
  void RemoveServer(const std::string& id);

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  using Key = std::pair<std::string, std::string>;

  void Serve(Connection& connection);
  std::string Answer(const Message& request, int& status);
  json Rows(const std::string& table, uint64_t after, bool with_deleted);
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::map<std::string, json> servers_;
  uint64_t version_ = 100;
  Clock::time_point start_ = Clock::now();
  Listener listener_;
};

// A config with one service; routes are added by the case.
json BaseConfig();
json ServerEntry(const std::string& service, const std::string& address);

// A process of the system.
class Process {
 public:
  // `settings` is written to a temporary folder. `words` follow the program.
  Process(const json& settings, const std::vector<std::string>& words);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal);
  // The wait status if the process has ended.
  std::optional<int> ended();
  pid_t pid() const { return pid_; }
  // Last lines of what it wrote.
  std::string LogTail(size_t bytes = 2000) const;

 private:
  std::string folder_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// A gateway with the command of the deploy file.
struct Gateway {
  uint16_t port = FreePort();
  uint16_t ready_port = FreePort();
  uint16_t metrics_port = FreePort();
  std::unique_ptr<Process> process;

  void Start(const std::string& name, const std::string& store);
  // Waits until it says that it is ready.
  bool AwaitReady(double timeout_s = 15);
};

json BaseSettings(const std::string& name, const std::string& store);

}  // namespace review

#endif  // REVIEW_SUPPORT_3_WORLD_H_
