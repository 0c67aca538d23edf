// A server of a service that does not tell its load: as PROTOCOL.md describes
// one, without X-Server-Load. It writes its entry every HeartbeatMs into the
// stand-in store, and can become cold again: POST /standin/cold, body: ms. It
// then does so after its next entry, as it may at any moment.
// With --load 1 it tells its load, for comparison. Each arrival is logged:
//   ID ARRIVED_MS COLD
// with the time of the steady clock, and COLD 1 while it is cold.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

namespace {

using Clock = std::chrono::steady_clock;

std::map<std::string, std::string> options;
std::FILE* log_file = nullptr;
std::mutex mutex;
std::condition_variable slot_free;
int running = 0;
int waiting = 0;
std::atomic<long> cold_until{0};
std::atomic<long> becomes_cold_for{0};
long born = 0;

long Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

int Number(const char* name) { return std::atoi(options[name].c_str()); }

sockaddr_in Parse(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
      static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  return to;
}

void Register() {
  const long cold = std::max(0L, cold_until - Now());
  std::ostringstream body;
  body << "{\"Address\":\"" << options["--listen"]
       << "\",\"Details\":{\"Service\":\"" << options["--service"]
       << "\",\"Version\":\"v1\",\"Zone\":\"" << options["--zone"]
       << "\",\"Slots\":" << Number("--slots")
       << "},\"Status\":{\"State\":\"ready\",\"Sequence\":1,"
       << "\"ColdRemainingMs\":" << cold << "},\"born\":" << born << "}";
  std::ostringstream text;
  text << "PUT /standin/item?key=servers/" << options["--id"]
       << "&ttl_ms=" << 3 * Number("--heartbeat-ms")
       << " HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: "
       << body.str().size() << "\r\n\r\n" << body.str();
  const sockaddr_in to = Parse(options["--store"]);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    send(fd, text.str().data(), text.str().size(), MSG_NOSIGNAL);
    char bytes[512];
    while (recv(fd, bytes, sizeof bytes, 0) > 0) {
    }
  }
  close(fd);
}

std::string Field(const std::string& head, const std::string& name) {
  const size_t begin = head.find("\r\n" + name + ": ");
  if (begin == std::string::npos)
    return "";
  const size_t value = begin + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

std::string Answer(const std::string& status, const std::string& fields,
                   const std::string& body) {
  std::string load;
  if (Number("--load") != 0) {
    std::lock_guard<std::mutex> lock(mutex);
    load = "X-Server-Load: " + std::to_string(running) + "," +
           std::to_string(waiting) + "," + options["--slots"] + "\r\n";
  }
  return "HTTP/1.1 " + status + "\r\n" + fields + load +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Handle(const std::string& head, const std::string& body) {
  const std::string id = Field(head, "X-Request-Id");
  const std::string echo = id.empty() ? "" : "X-Request-Id: " + id + "\r\n";
  const long cold = std::max(0L, cold_until - Now());
  if (head.find("POST /standin/cold ") == 0) {
    becomes_cold_for = std::atol(body.c_str());
    return Answer("200 OK", "", "");
  }
  if (head.find("GET /health ") == 0)
    return Answer("200 OK",
                  "X-Instance-Id: " + options["--id"] + "\r\nX-Cold-Ms: " +
                      std::to_string(cold) + "\r\n",
                  "");
  const std::string expected = Field(head, "X-Expect-Instance");
  if (!expected.empty() && expected != options["--id"])
    return Answer("421 Misdirected Request", echo + "X-Not-Executed: 1\r\n", "");
  std::unique_lock<std::mutex> lock(mutex);
  std::fprintf(log_file, "%s %ld %d\n", id.c_str(), Now(), cold > 0 ? 1 : 0);
  std::fflush(log_file);
  if (running >= Number("--slots") && waiting >= 6) {
    lock.unlock();
    return Answer("503 Service Unavailable", echo + "X-Not-Executed: 1\r\n", "");
  }
  ++waiting;
  slot_free.wait(lock, [] { return running < Number("--slots"); });
  --waiting;
  ++running;
  lock.unlock();
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Number("--work-ms")));
  lock.lock();
  --running;
  slot_free.notify_one();
  lock.unlock();
  return Answer("200 OK",
                echo + "X-Server-Signature: " + options["--id"] + "." + id +
                    "\r\n",
                "done\n");
}

void Serve(int fd) {
  std::string data;
  char bytes[8192];
  for (;;) {
    size_t end = 0;
    size_t length = 0;
    for (;;) {
      end = data.find("\r\n\r\n");
      if (end != std::string::npos) {
        length = std::strtoul(
            Field(data.substr(0, end + 2), "Content-Length").c_str(), nullptr,
            10);
        if (data.size() >= end + 4 + length)
          break;
      }
      const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
      if (size <= 0) {
        close(fd);
        return;
      }
      data.append(bytes, static_cast<size_t>(size));
    }
    const std::string answer =
        Handle(data.substr(0, end + 4), data.substr(end + 4, length));
    data.erase(0, end + 4 + length);
    if (send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) {
      close(fd);
      return;
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  options = {{"--slots", "3"}, {"--work-ms", "20"}, {"--load", "0"},
             {"--heartbeat-ms", "1500"}};
  for (int i = 1; i + 1 < argc; i += 2)
    options[argv[i]] = argv[i + 1];
  log_file = std::fopen(options["--run-log"].c_str(), "a");
  born = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in own = Parse(options["--listen"]);
  if (!log_file ||
      bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
      listen(listener, 128) != 0)
    return 1;
  std::thread([] {
    for (;;) {
      Register();
      if (const long cold = becomes_cold_for.exchange(0))
        cold_until = Now() + cold;
      std::this_thread::sleep_for(
          std::chrono::milliseconds(Number("--heartbeat-ms")));
    }
  }).detach();
  for (;;) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd < 0)
      continue;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::thread(Serve, fd).detach();
  }
}
