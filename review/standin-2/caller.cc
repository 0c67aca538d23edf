// A client of the platform, for the scripts of the cases 6 and up. Sends
// requests at a fixed rate to each of the given addresses, over kept
// connections, and writes one line for each request:
//   ID ADDRESS SENT_MS ANSWERED_MS STATUS SIGNED
// Times are those of the steady clock. STATUS is 0 if no connection could be
// made, and -1 if the connection ended without a whole answer. SIGNED is 1 if
// the answer has X-Server-Signature. Requests are not sent again. With --now 1 it
// only prints the steady clock.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

struct Options {
  std::string to, host, path = "/", method = "GET", key, out, ids = "r";
  double rate = 1, seconds = 1;
  int deadline_ms = 1000, workers = 4, body = 0, header_bytes = 0;
};

std::mutex out_mutex;
std::FILE* out = nullptr;

long Ms(Clock::time_point t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             t.time_since_epoch())
      .count();
}

int Connect(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
      static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0)
    return fd;
  close(fd);
  return -1;
}

std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(c));
  return text;
}

// Reads one answer with a length or in chunks. Returns its status, or -1.
int ReadAnswer(int fd, bool& is_signed, bool& keep) {
  std::string data;
  char bytes[8192];
  const auto more = [&] {
    const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
    if (size <= 0)
      return false;
    data.append(bytes, static_cast<size_t>(size));
    return true;
  };
  size_t end = 0;
  while ((end = data.find("\r\n\r\n")) == std::string::npos)
    if (!more())
      return -1;
  const std::string head = Lower(data.substr(0, end + 4));
  is_signed = head.find("\r\nx-server-signature:") != std::string::npos;
  keep = head.find("\r\nconnection: close") == std::string::npos;
  const int status = std::atoi(head.c_str() + 9);
  const size_t length = head.find("\r\ncontent-length:");
  if (length != std::string::npos) {
    const size_t whole =
        end + 4 + std::strtoul(head.c_str() + length + 17, nullptr, 10);
    while (data.size() < whole)
      if (!more())
        return -1;
  } else {
    while (data.size() < end + 9 ||
           data.compare(data.size() - 5, 5, "0\r\n\r\n") != 0)
      if (!more())
        return -1;
  }
  return status;
}

void Work(const Options& options, const std::string& address, int worker,
          Clock::time_point start) {
  const auto gap = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(options.workers / options.rate));
  auto due = start + gap * worker / options.workers;
  const auto stop = start + std::chrono::duration_cast<Clock::duration>(
                                std::chrono::duration<double>(options.seconds));
  int fd = -1;
  for (int i = 0; due < stop; ++i, due += gap) {
    std::this_thread::sleep_until(due);
    std::ostringstream id;
    id << options.ids << '-' << address << '-' << worker << '-' << i;
    std::ostringstream text;
    text << options.method << ' ' << options.path << " HTTP/1.1\r\nHost: "
         << options.host << "\r\nX-Request-Id: " << id.str()
         << "\r\nX-Request-Deadline-Ms: " << options.deadline_ms << "\r\n";
    if (!options.key.empty())
      text << "Authorization: Token " << options.key << "\r\n";
    if (options.header_bytes > 0)
      text << "X-Note: " << std::string(options.header_bytes, 'n') << "\r\n";
    if (options.body > 0)
      text << "Content-Length: " << options.body << "\r\n";
    text << "\r\n" << std::string(options.body, 'b');
    if (fd < 0)
      fd = Connect(address);
    const auto sent = Clock::now();
    int status = 0;
    bool is_signed = false;
    bool keep = false;
    if (fd >= 0) {
      timeval limit{options.deadline_ms / 1000,
                    options.deadline_ms % 1000 * 1000};
      setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      const std::string request = text.str();
      const bool written =
          send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size());
      status = written ? ReadAnswer(fd, is_signed, keep) : -1;
      if (status < 0 || !keep) {
        close(fd);
        fd = -1;
      }
    }
    std::lock_guard<std::mutex> lock(out_mutex);
    std::fprintf(out, "%s %s %ld %ld %d %d\n", id.str().c_str(),
                 address.c_str(), Ms(sent), Ms(Clock::now()), status,
                 is_signed ? 1 : 0);
  }
  if (fd >= 0)
    close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, std::string> given;
  for (int i = 1; i + 1 < argc; i += 2)
    given[argv[i]] = argv[i + 1];
  if (given.count("--now") > 0)
    return std::printf("%ld\n", Ms(Clock::now())) > 0 ? 0 : 1;
  Options options;
  const auto text = [&](const char* name, std::string& value) {
    if (given.count(name) > 0)
      value = given[name];
  };
  const auto number = [&](const char* name, auto& value) {
    if (given.count(name) > 0)
      value = static_cast<std::decay_t<decltype(value)>>(
          std::atof(given[name].c_str()));
  };
  text("--to", options.to);
  text("--host", options.host);
  text("--path", options.path);
  text("--method", options.method);
  text("--key", options.key);
  text("--out", options.out);
  text("--ids", options.ids);
  number("--rate", options.rate);
  number("--seconds", options.seconds);
  number("--deadline-ms", options.deadline_ms);
  number("--workers", options.workers);
  number("--body", options.body);
  number("--header-bytes", options.header_bytes);
  out = options.out.empty() ? stdout : std::fopen(options.out.c_str(), "a");
  if (!out)
    return 2;
  const auto start = Clock::now() + std::chrono::milliseconds(20);
  std::vector<std::thread> threads;
  std::istringstream list(options.to);
  for (std::string address; std::getline(list, address, ',');)
    for (int worker = 0; worker < options.workers; ++worker)
      threads.emplace_back(Work, std::cref(options), address, worker, start);
  for (std::thread& thread : threads)
    thread.join();
  std::fclose(out);
  return 0;
}
