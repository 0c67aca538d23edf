// Stand-ins for the platform's store, backend servers and clients, and the
// means to start instances. Shared by the scripts of this review.
//
// Each stand-in follows PROTOCOL.md; a script changes only the behaviour that
// its claim names.
#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/** Seconds since the first call; the time base of record.txt. */
inline double Now() {
  static const SteadyClock::time_point start = SteadyClock::now();
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

inline void SleepUntil(double at) {
  while (Now() < at)
    std::this_thread::sleep_for(
        std::chrono::duration<double>(std::clamp(at - Now(), 0.0005, 0.05)));
}

inline void Sleep(double seconds) {
  SleepUntil(Now() + seconds);
}

/** The case could not run; the script exits with 2. */
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Writes record.txt, one line for each event. */
class Record {
 public:
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void Write(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", Now());
    std::lock_guard<std::mutex> lock(mutex_);
    file_ << time << line << "\n";
  }
  void Flush() {
    std::lock_guard<std::mutex> lock(mutex_);
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline Record& TheRecord() {
  static Record record;
  return record;
}

inline void Note(const std::string& line) {
  TheRecord().Write(line);
}

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in SocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

/** Listens on a free port of a loopback address; stores the port. */
inline int Listen(Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = SocketAddress(endpoint);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, 256) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw CannotRun("cannot listen on " + endpoint.text());
  endpoint.port = ntohs(address.sin_port);
  return fd;
}

/** A free port for a process that is started afterwards. */
inline int FreePort(const std::string& ip) {
  Endpoint endpoint{ip, 0};
  close(Listen(endpoint));
  return endpoint.port;
}

/** A blocking connection whose reads have a time limit. */
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const Endpoint& to, double limit) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = SocketAddress(to);
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&waiting, 1, static_cast<int>(limit * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(fd);
  }

  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }

  int fd() const { return fd_; }
  std::string& buffer() { return buffer_; }

  /** Reads more into buffer(). False at the end, on an error, or at `until`. */
  bool ReadSome(double until) {
    pollfd waiting{fd_, POLLIN, 0};
    const double left = until - Now();
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) != 1)
      return false;
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(size));
    return true;
  }

  /** True once the peer has closed or reset the connection. */
  bool ended() const { return ended_; }

  /** True if the peer has closed, or has sent bytes, while none were due. */
  bool HasInput() const {
    char byte = 0;
    const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool Write(const std::string& data) {
    size_t sent = 0;
    while (sent < data.size()) {
      const ssize_t size =
          send(fd_, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      sent += static_cast<size_t>(size);
    }
    return true;
  }

 private:
  int fd_;
  bool ended_ = false;
  std::string buffer_;
};

struct Head {
  std::string start_line;
  std::map<std::string, std::string> fields;  // names in lower case

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const {
    return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0;
  }
  std::string method() const {
    return start_line.substr(0, start_line.find(' '));
  }
  std::string target() const {
    const size_t begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
};

inline std::optional<Head> ReadHead(Connection& connection, double until) {
  size_t end = 0;
  while ((end = connection.buffer().find("\r\n\r\n")) == std::string::npos) {
    if (!connection.ReadSome(until))
      return std::nullopt;
  }
  std::istringstream lines(connection.buffer().substr(0, end + 2));
  connection.buffer().erase(0, end + 4);
  Head head;
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (head.start_line.empty()) {
      head.start_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const size_t value = line.find_first_not_of(' ', colon + 1);
    head.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  return head;
}

/** Reads a body with a length or in chunks; none if it does not end in time. */
inline std::optional<std::string> ReadBody(Connection& connection,
                                           const Head& head,
                                           double until) {
  std::string& buffer = connection.buffer();
  std::string body;
  if (head.field("transfer-encoding") != "chunked") {
    const size_t length =
        static_cast<size_t>(std::atoll(head.field("content-length").c_str()));
    while (buffer.size() < length) {
      if (!connection.ReadSome(until))
        return std::nullopt;
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return body;
  }
  for (;;) {
    size_t line = 0;
    while ((line = buffer.find("\r\n")) == std::string::npos) {
      if (!connection.ReadSome(until))
        return std::nullopt;
    }
    const size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    while (buffer.size() < line + 2 + size + 2) {
      if (Now() >= until || !connection.ReadSome(until))
        return std::nullopt;
    }
    body += buffer.substr(line + 2, size);
    buffer.erase(0, line + 2 + size + 2);
    if (size == 0)
      return body;
    if (Now() >= until)
      return std::nullopt;
  }
}

inline std::string Response(int status,
                            const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Accepts connections and serves each on a thread of its own. */
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  Listener(Endpoint& endpoint, Serve serve)
      : fd_(Listen(endpoint)), serve_(std::move(serve)) {
    thread_ = std::thread([this] { Accept(); });
  }
  ~Listener() { Stop(); }

  void Stop() {
    if (fd_ < 0)
      return;
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
    fd_ = -1;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (const int open : open_)
        shutdown(open, SHUT_RDWR);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    none_open_.wait(lock, [this] { return open_.empty(); });
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && errno != EINTR && errno != ECONNABORTED)
        return;
      if (fd < 0)
        continue;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        open_.push_back(fd);
      }
      std::thread([this, fd] {
        Connection connection(fd);
        serve_(connection);
        std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(std::find(open_.begin(), open_.end(), fd));
        connection.Close();
        none_open_.notify_all();
      }).detach();
    }
  }

  int fd_;
  Serve serve_;
  std::mutex mutex_;
  std::condition_variable none_open_;
  std::vector<int> open_;
  std::thread thread_;
};

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j)
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    for (size_t j = 0; j < 4; ++j)
      text += j <= bytes.size() - i ? kDigits[group >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

/** Value of a parameter of a query; without escapes, which keys here lack. */
inline std::string Parameter(const std::string& target,
                             const std::string& name) {
  size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const size_t end = target.find('&', begin + 1);
    const std::string part = target.substr(
        begin + 1, end == std::string::npos ? end : end - begin - 1);
    if (part.compare(0, name.size() + 1, name + "=") == 0)
      return part.substr(name.size() + 1);
    begin = end;
  }
  return "";
}

/** The platform's store: linearizable, unless a read allows a stale copy. */
class Store {
 public:
  struct Options {
    /** An answer takes this long. */
    double answer_s = 0.004;
    /** Items on one page; the site files say 50. */
    size_t page = 50;
    /** Changes older than this are no longer in the history. */
    double history_s = 20;
    /** Age of a stale read of a page, by whether it is the first page. */
    std::function<double(bool first_page)> stale_age_s = [](bool) {
      return 0.0;
    };
  };

  Store(Endpoint endpoint, Options options)
      : endpoint_(std::move(endpoint)), options_(std::move(options)) {
    log_.push_back({"none", "", true, Now(), 1, ""});
    listener_ = std::make_unique<Listener>(
        endpoint_, [this](Connection& connection) { Serve(connection); });
  }

  const Endpoint& endpoint() const { return endpoint_; }

  uint64_t Put(const std::string& key, const std::string& value) {
    return Change({key, value, false, 0, 0, ""});
  }
  uint64_t Delete(const std::string& key) {
    return Change({key, "", true, 0, 0, ""});
  }

  void Stop() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    listener_->Stop();
  }

 private:
  struct Item {
    std::string key;
    std::string value;
    bool deleted = false;
    double at = 0;
    uint64_t revision = 0;
    /** `value` as it is sent. */
    std::string text = "";
  };

  uint64_t Change(Item item) {
    item.text = Base64(item.value);
    std::lock_guard<std::mutex> lock(mutex_);
    item.at = Now();
    item.revision = log_.back().revision + 1;
    log_.push_back(std::move(item));
    changed_.notify_all();
    return log_.back().revision;
  }

  static std::string ItemText(const Item& item) {
    std::string text = "{\"Key\":\"" + item.key +
                       "\",\"Revision\":" + std::to_string(item.revision);
    if (item.deleted)
      return text + ",\"Deleted\":true}";
    return text + ",\"Created\":" + std::to_string(item.revision) +
           ",\"LeaseId\":0,\"Value\":\"" + item.text + "\"}";
  }

  static std::string Answer(const char* list,
                            const std::vector<const Item*>& items,
                            uint64_t revision,
                            bool more) {
    std::string body = "{\"CurrentRev\":" + std::to_string(revision) +
                       ",\"HasMore\":" + (more ? "true" : "false") + ",\"" +
                       list + "\":[";
    for (size_t i = 0; i < items.size(); ++i)
      body += (i ? "," : "") + ItemText(*items[i]);
    return Response(200, "Content-Type: application/json\r\n", body + "]}");
  }

  std::string Range(const std::string& target) {
    const std::string after = Parameter(target, "after");
    const std::string prefix = Parameter(target, "Prefix");
    const bool stale = Parameter(target, "StaleOk") == "1";
    std::lock_guard<std::mutex> lock(mutex_);
    const double at =
        Now() - (stale ? options_.stale_age_s(after.empty()) : 0.0);
    uint64_t revision = 1;
    std::map<std::string, const Item*> items;
    for (const Item& item : log_) {
      if (item.at > at)
        break;
      revision = item.revision;
      items.erase(item.key);
      if (!item.deleted)
        items[item.key] = &item;
    }
    std::vector<const Item*> page;
    bool more = false;
    for (auto it = items.upper_bound(after); it != items.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0)
        continue;
      more = page.size() == options_.page;
      if (more)
        break;
      page.push_back(it->second);
    }
    Note("store: read after='" + after + "' stale=" + (stale ? "1" : "0") +
         " -> " + std::to_string(page.size()) + " items of revision " +
         std::to_string(revision));
    return Answer("items", page, revision, more);
  }

  std::string Watch(const std::string& target) {
    const uint64_t after = std::stoull(Parameter(target, "after"));
    const double until = Now() + std::stod(Parameter(target, "WaitMs")) / 1000;
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      uint64_t dropped = 0;
      for (const Item& item : log_) {
        if (item.at < Now() - options_.history_s)
          dropped = item.revision;
      }
      if (after < dropped)
        return Response(410, "", "{}");
      std::vector<const Item*> events;
      for (const Item& item : log_) {
        if (item.revision > after)
          events.push_back(&item);
      }
      if (!events.empty() || Now() >= until || stopped_) {
        std::string answer =
            Answer("events", events, log_.back().revision, false);
        if (!events.empty())
          Note("store: watch after=" + std::to_string(after) + " -> " +
               std::to_string(events.size()) + " events, " +
               std::to_string(answer.size()) + " bytes");
        return answer;
      }
      changed_.wait_for(lock, std::chrono::duration<double>(until - Now()));
    }
  }

  void Serve(Connection& connection) {
    while (const auto head = ReadHead(connection, Now() + 3600)) {
      const std::string target = head->target();
      Sleep(options_.answer_s);
      std::string answer = Response(404, "", "{}");
      if (target.compare(0, 10, "/kv-range?") == 0)
        answer = Range(target);
      else if (target.compare(0, 10, "/kv-watch?") == 0)
        answer = Watch(target);
      if (!connection.Write(answer))
        return;
    }
  }

  Endpoint endpoint_;
  Options options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Item> log_;
  bool stopped_ = false;
  std::unique_ptr<Listener> listener_;
};

/** A request as a backend server got it. */
struct ServerRequest {
  Head head;
  std::string id;
};

/** A backend server. It registers itself in the store. */
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    int slots = 3;
    int queue = 6;
    double work_s = 0.05;
    /** Called when a request begins to run. */
    std::function<void(const ServerRequest&)> on_run;
    /**
     * Answers a request that has run; true if it did, so that the connection
     * is closed and the usual answer is left out.
     */
    std::function<bool(Connection&, const ServerRequest&)> answer;
    /** `answer` answers all requests; false from it keeps the connection. */
    bool answers_all = false;
  };

  Server(Store& store, Options options)
      : store_(store), options_(std::move(options)) {
    endpoint_.ip = "127.0.0.1";
    listener_ = std::make_unique<Listener>(
        endpoint_, [this](Connection& connection) { Serve(connection); });
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    Register("ready");
  }

  const std::string& id() const { return options_.id; }

  void Register(const std::string& state) {
    draining_ = state != "ready";
    store_.Put(
        "servers/" + options_.id,
        Json{{"Address", endpoint_.text()},
             {"Details",
              {{"Service", options_.service},
               {"Version", "v1"},
               {"Zone", options_.zone},
               {"Slots", options_.slots}}},
             {"Status",
              {{"State", state}, {"Sequence", 1}, {"ColdRemainingMs", 0}}},
             {"born", born_}}
            .dump());
  }

  /** Ends the server; its entry is removed first. */
  void Leave() {
    store_.Delete("servers/" + options_.id);
    Stop();
  }

  void Stop() { listener_->Stop(); }

 private:
  std::string Load() {
    std::lock_guard<std::mutex> lock(mutex_);
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(options_.slots) + ",100";
  }

  bool TakeSlot() {
    std::unique_lock<std::mutex> lock(mutex_);
    if (running_ >= options_.slots && waiting_ >= options_.queue)
      return false;
    ++waiting_;
    free_slot_.wait(lock, [this] { return running_ < options_.slots; });
    --waiting_;
    ++running_;
    return true;
  }

  void ReleaseSlot() {
    std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    free_slot_.notify_one();
  }

  void Serve(Connection& connection) {
    while (const auto head = ReadHead(connection, Now() + 3600)) {
      const auto body = ReadBody(connection, *head, Now() + 60);
      if (!body || !Handle(connection, {*head, head->field("x-request-id")}))
        return;
    }
  }

  bool Handle(Connection& connection, const ServerRequest& request) {
    if (request.head.target() == "/health")
      return connection.Write(Response(draining_ ? 503 : 200,
                                       "X-Instance-Id: " + options_.id +
                                           "\r\nX-Server-Load: " + Load() +
                                           "\r\n",
                                       ""));
    const std::string echo = "X-Request-Id: " + request.id + "\r\n";
    const std::string expected = request.head.field("x-expect-instance");
    if (!expected.empty() && expected != options_.id)
      return connection.Write(
          Response(421, echo + "X-Instance-Id: " + options_.id + "\r\n", ""));
    if (!TakeSlot())
      return connection.Write(
          Response(503, echo + "X-Not-Executed: 1\r\n", ""));
    if (options_.on_run)
      options_.on_run(request);
    Sleep(options_.work_s);
    ReleaseSlot();
    if (options_.answer && options_.answer(connection, request))
      return false;
    if (options_.answers_all)
      return true;
    return connection.Write(
        Response(200,
                 echo + "X-Server-Signature: s." + request.id +
                     "\r\nX-Server-Load: " + Load() + "\r\n",
                 "answer to " + request.id + " by " + options_.id + "\n"));
  }

  Store& store_;
  const Options options_;
  Endpoint endpoint_;
  int64_t born_ = 0;
  std::atomic<bool> draining_{false};
  std::mutex mutex_;
  std::condition_variable free_slot_;
  int running_ = 0;
  int waiting_ = 0;
  std::unique_ptr<Listener> listener_;
};

/** Fills in the fields of platform/settings.json, as DEPLOY.md says. */
inline std::string Render(std::string text, const Json& fields) {
  for (size_t open = 0; (open = text.find("{{")) != std::string::npos;) {
    const size_t close = text.find("}}", open);
    std::string name = text.substr(open + 2, close - open - 2);
    const size_t bar = name.find("|json");
    const bool as_json = bar != std::string::npos;
    name = name.substr(0, bar);
    std::replace(name.begin(), name.end(), '.', '/');
    const Json value = fields.value(Json::json_pointer("/" + name), Json());
    text.replace(open, close + 2 - open,
                 value.is_string() && !as_json ? value.get<std::string>()
                                               : value.dump());
  }
  return text;
}

/** One instance: a process of target/mangodoor-platform. */
class Instance {
 public:
  struct Ports {
    Endpoint front, ready, control, directory;
    int internal = 0;
  };

  static Ports NewPorts() {
    const std::string ip = "127.0.0.1";
    Ports ports;
    for (Endpoint* endpoint :
         {&ports.front, &ports.ready, &ports.control, &ports.directory})
      *endpoint = {ip, FreePort(ip)};
    ports.internal = FreePort(ip);
    return ports;
  }

  Instance(const std::string& folder,
           const std::string& name,
           const std::string& zone,
           const Ports& ports,
           const std::vector<Endpoint>& seeds,
           const Endpoint& store)
      : ports_(ports), name_(name), path_(folder + "/" + name) {
    Json seed_list = Json::array();
    for (const Endpoint& seed : seeds)
      seed_list.push_back(seed.text());
    const Json fields{{"Node", name},
                      {"Zone", zone},
                      {"Ip", "127.0.0.1"},
                      {"Listen",
                       {{"Front", ports.front.text()},
                        {"Ready", ports.ready.text()},
                        {"Control", ports.control.text()},
                        {"Directory", ports.directory.text()}}},
                      {"InternalPorts", {ports.internal, ports.internal}},
                      {"Limits", {{"Cores", 1}, {"CpuShare", 0.2}}},
                      {"Seeds", seed_list},
                      {"Platform", {{"Address", store.text()}}},
                      {"Bounds",
                       {{"QuotaWindowS", 5},
                        {"QuotaOverage", 0.25},
                        {"QuotaSlack", 20},
                        {"BudgetRatio", 0.2},
                        {"BudgetWindowS", 10},
                        {"BudgetSlack", 58},
                        {"ProbesPerS", 60},
                        {"GraceS", 6},
                        {"FailClosed", false},
                        {"RevokeMs", 5000}}}};
    std::ifstream file("platform/settings.json");
    std::stringstream text;
    text << file.rdbuf();
    if (!file || text.str().empty())
      throw CannotRun("no platform/settings.json; run from the repository");
    std::ofstream(path_ + ".json") << Render(text.str(), fields);
  }
  ~Instance() { Kill(); }

  const Ports& ports() const { return ports_; }
  const std::string& name() const { return name_; }
  double started_at() const { return started_at_; }
  std::string log_path() const { return path_ + ".log"; }
  bool running() { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }

  void Start() {
    const std::string program = "target/mangodoor-platform";
    if (access(program.c_str(), X_OK) != 0)
      throw CannotRun("no target/mangodoor-platform; run the deploy build");
    Note(name_ + ": start");
    started_at_ = Now();
    pid_ = fork();
    if (pid_ != 0)
      return;
    // The instance ends with the script, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const std::string settings = path_ + ".json";
    execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }

  void Signal(int signal) const {
    if (pid_ > 0)
      kill(pid_, signal);
  }

  /** SIGTERM, then SIGKILL after `grace_s`; waits for the end. */
  void Stop(double grace_s) {
    Note(name_ + ": SIGTERM");
    Signal(SIGTERM);
    const double until = Now() + grace_s;
    while (pid_ > 0 && Now() < until) {
      if (waitpid(pid_, nullptr, WNOHANG) == pid_)
        pid_ = -1;
      else
        Sleep(0.01);
    }
    Kill();
    Note(name_ + ": ended");
  }

  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  Ports ports_;
  std::string name_;
  std::string path_;
  pid_t pid_ = -1;
  double started_at_ = 0;
};

/** What a client saw of one request. */
struct ClientResult {
  double sent_at = 0;
  double ended_at = 0;
  /** 0 if no complete head was received. */
  int status = 0;
  /** True if the answer was received to its end. */
  bool complete = false;
  /** True if the client gave up at its time budget. */
  bool gave_up = false;
  /** Bytes received of an answer that did not end. */
  size_t bytes = 0;
  Head head;
  std::string body;
};

/** Sends one request on `connection` and reads the answer. */
inline ClientResult Call(Connection& connection,
                         const std::string& method,
                         const std::string& host,
                         const std::string& path,
                         const std::string& id,
                         const std::string& key,
                         int deadline_ms,
                         const std::string& body = "") {
  ClientResult result;
  result.sent_at = Now();
  const double until = result.sent_at + deadline_ms / 1000.0;
  std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nX-Request-Id: " + id +
      "\r\nX-Request-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (!key.empty())
    request += "Authorization: Token " + key + "\r\n";
  if (!body.empty() || method == "POST")
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  connection.Write(request + "\r\n" + body);
  if (const auto head = ReadHead(connection, until)) {
    result.head = *head;
    result.status = head->status();
    if (const auto read = ReadBody(connection, *head, until)) {
      result.body = *read;
      result.complete = true;
    }
  }
  result.ended_at = Now();
  result.bytes = connection.buffer().size();
  result.gave_up = !result.complete && !connection.ended();
  return result;
}

/** True if the instance says that it is ready. */
inline bool IsReady(const Instance& instance) {
  const auto connection = Connection::Open(instance.ports().ready, 1);
  if (!connection)
    return false;
  connection->Write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto head = ReadHead(*connection, Now() + 1);
  return head && head->status() == 200;
}

inline void WaitUntilReady(const std::vector<Instance*>& instances,
                           double limit_s) {
  const double until = Now() + limit_s;
  for (const Instance* instance : instances) {
    while (!IsReady(*instance)) {
      if (Now() > until)
        throw CannotRun(instance->name() + " does not become ready");
      Sleep(0.05);
    }
  }
}

/** Asks a directory where to connect; empty if it does not answer. */
inline std::vector<Endpoint> Lookup(const Instance& instance,
                                    const std::string& host,
                                    const std::string& zone) {
  std::vector<Endpoint> addresses;
  const auto connection = Connection::Open(instance.ports().directory, 1);
  if (!connection)
    return addresses;
  connection->Write("GET /lookup?Name=" + host + "&Region=r&Zone=" + zone +
                    " HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto head = ReadHead(*connection, Now() + 1);
  if (!head || head->status() != 200)
    return addresses;
  const auto body = ReadBody(*connection, *head, Now() + 1);
  const Json json = Json::parse(body.value_or(""), nullptr, false);
  if (!json.is_object())
    return addresses;
  for (const Json& address : json.value("Addresses", Json::array())) {
    const std::string text = address.get<std::string>();
    const size_t colon = text.find(':');
    addresses.push_back(
        {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)});
  }
  return addresses;
}

struct RouteSpec {
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 800;
  int target_ms = 200;
};

inline std::string VersionText(int version) {
  char text[16];
  std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(version));
  return text;
}

/** A configuration as PROTOCOL.md describes it. */
inline std::string Configuration(int version,
                                 const std::string& host,
                                 const std::vector<RouteSpec>& routes,
                                 const std::vector<std::string>& services,
                                 const std::vector<std::string>& keys) {
  Json resources = Json::array();
  for (const RouteSpec& route : routes)
    resources.push_back(
        {{"ResourceKind", "Routes"},
         {"Metadata", {{"Name", "r" + std::to_string(resources.size())}}},
         {"Spec",
          {{"Host", host},
           {"Prefix", route.prefix},
           {"Kind", route.kind},
           {"TimeoutMs", route.timeout_ms},
           {"TargetLatencyMs", route.target_ms},
           {"Priority", 1},
           {"Service", route.service},
           {"MaxAttempts", 2},
           {"Public", false}}}});
  for (const std::string& service : services)
    resources.push_back({{"ResourceKind", "Services"},
                         {"Metadata", {{"Name", service}}},
                         {"Spec",
                          {{"HealthPath", "/health"},
                           {"MaxConns", 220},
                           {"Protocol", "h1"},
                           {"Tls", false},
                           {"ColdStartS", 3.0},
                           {"ColdPerS", 12.0}}}});
  resources.push_back({{"ResourceKind", "Tenants"},
                       {"Metadata", {{"Name", "tenant-1"}}},
                       {"Spec",
                        {{"ApiKeys", keys},
                         {"Priority", 1},
                         {"RatePerS", 1000},
                         {"Burst", 1000}}}});
  resources.push_back({{"ResourceKind", "Limits"},
                       {"Metadata", Json::object()},
                       {"Spec",
                        {{"MaxHeaderBytes", 16384},
                         {"MaxBodyBytes", 67108864},
                         {"HeaderTimeoutMs", 3000},
                         {"IdleTimeoutMs", 15000}}}});
  return Json{{"Version", VersionText(version)}, {"Resources", resources}}
      .dump();
}

/** The disruption is left out if TROUBLE=0. */
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

/**
 * Runs a case: `run` gets a temporary folder and returns true if the rule was
 * broken. Arguments of the program: the folder of the case.
 */
inline int Main(int argc,
                char** argv,
                const std::function<bool(const std::string& folder)>& run) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " FOLDER-OF-THE-CASE\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  Now();
  TheRecord().Open(std::string(argv[1]) + "/record.txt");
  char folder[] = "/tmp/mangodoor-review-XXXXXX";
  int result = 2;
  if (!mkdtemp(folder))
    return result;
  try {
    const bool broken = run(folder);
    Note(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
    std::cout << (broken ? "broken" : "held") << std::endl;
    result = broken ? 1 : 0;
  } catch (const std::exception& error) {
    Note(std::string("RESULT: the case could not run: ") + error.what());
    std::cerr << error.what() << std::endl;
  }
  TheRecord().Flush();
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(folder);
  else
    std::cout << folder << std::endl;
  std::cout.flush();
  // Threads of the stand-ins may still wait; the instances have ended.
  _exit(result);
}

}  // namespace review

#endif  // REVIEW_STANDIN_STANDIN_H_
