// A server leaves while an instance is stopped and started again. The first
// copy that the instance reads of the store may be stale; see claim.txt.
#include "standin/standin.h"

namespace review {
namespace {

constexpr char kHost[] = "shop.example";
constexpr char kKey[] = "key-of-tenant-1";
constexpr char kZone[] = "zone-a";

// Bounds of the site files.
constexpr double kDrainS = 2.0;
constexpr double kStableWindowS = 3.0;
constexpr double kGraceS = 6.0;
// Stale reads are 3 s behind by default (`fleetbench kinds`).
constexpr double kStaleAgeS = 3.0;
// How long the leaving server goes on serving (`scale_in`, how `stay`).
constexpr double kStayS = 15.0;

constexpr int kFillerServers = 56;
constexpr int kServers = 3;

struct Arrival {
  double at = 0;
  std::string server;
  std::string id;
};

struct Traffic {
  std::mutex mutex;
  std::map<std::string, std::string> instance_of;  // by request id
  int answered = 0;
  int sent = 0;
};

bool Run(const std::string& folder) {
  Store::Options store_options;
  store_options.stale_age_s = [](bool first_page) {
    return Trouble() && !first_page ? kStaleAgeS : 0.0;
  };
  Store store({"127.0.0.1", 0}, store_options);

  std::mutex arrivals_mutex;
  std::vector<Arrival> arrivals;
  std::vector<std::unique_ptr<Server>> servers;
  const auto add_server = [&](const std::string& id,
                              const std::string& service) {
    Server::Options options;
    options.id = id;
    options.service = service;
    options.zone = kZone;
    options.on_run = [&, id](const ServerRequest& request) {
      Note(id + ": runs " + request.id);
      std::lock_guard<std::mutex> lock(arrivals_mutex);
      arrivals.push_back({Now(), id, request.id});
    };
    servers.push_back(std::make_unique<Server>(store, options));
  };
  // Servers of other services take up the first page of the store.
  for (int i = 0; i < kFillerServers; ++i)
    add_server("i-" + std::to_string(100 + i), "archive");
  for (int i = 0; i < kServers; ++i)
    add_server("i-" + std::to_string(900 + i), "calendar");
  Server& leaving = *servers.back();

  store.Put("op/config",
            Configuration(5, kHost, {{"/calendar/", "safe", "calendar"}},
                          {"archive", "calendar"}, {kKey}));
  Sleep(kStaleAgeS + 0.5);

  const std::vector<Instance::Ports> ports = {Instance::NewPorts(),
                                              Instance::NewPorts()};
  std::vector<Endpoint> seeds = {ports[0].control, ports[1].control};
  Instance first(folder, "front-1", kZone, ports[0], seeds, store.endpoint());
  Instance second(folder, "front-2", kZone, ports[1], seeds, store.endpoint());
  first.Start();
  second.Start();
  WaitUntilReady({&first, &second}, 10);

  Traffic traffic;
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < 6; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      std::vector<Endpoint> addresses;
      double looked_up = -100;
      for (int number = 0; !stop; ++number) {
        if (addresses.empty() || Now() - looked_up > 2) {
          const bool swap = random() % 2 == 0;
          addresses = Lookup(swap ? second : first, kHost, kZone);
          if (addresses.empty())
            addresses = Lookup(swap ? first : second, kHost, kZone);
          looked_up = Now();
        }
        Sleep(0.15);
        if (addresses.empty())
          continue;
        const Endpoint to = addresses[random() % addresses.size()];
        const std::string id =
            "c" + std::to_string(i) + "-" + std::to_string(number);
        const std::string name =
            to.port == ports[0].front.port ? "front-1" : "front-2";
        {
          std::lock_guard<std::mutex> lock(traffic.mutex);
          traffic.instance_of[id] = name;
          ++traffic.sent;
        }
        const auto connection = Connection::Open(to, 1);
        if (!connection) {
          addresses.clear();
          continue;
        }
        const ClientResult result =
            Call(*connection, "GET", kHost, "/calendar/x", id, kKey, 1500);
        Note("client: " + id + " to " + name + " -> " +
             std::to_string(result.status));
        std::lock_guard<std::mutex> lock(traffic.mutex);
        traffic.answered += result.status == 200 && result.complete;
      }
    });
  }

  Sleep(6);
  // Planned work: the server leaves, and the instance is stopped and started.
  second.Stop(kGraceS);
  leaving.Register("draining");
  const double acknowledged = Now();
  Note("store: acknowledged that " + leaving.id() + " is draining");
  Sleep(0.5);
  second.Start();
  const double in_touch = second.started_at() + kStableWindowS;
  SleepUntil(acknowledged + kStayS);
  leaving.Leave();
  Note(leaving.id() + ": has left");
  Sleep(1);
  stop = true;
  for (std::thread& client : clients)
    client.join();
  const bool alive = first.running() && second.running();
  first.Stop(kGraceS);
  second.Stop(kGraceS);
  store.Stop();

  if (!alive || traffic.answered < traffic.sent / 2)
    throw CannotRun("the traffic was not served");
  int late = 0;
  int from_first = 0;
  for (const Arrival& arrival : arrivals) {
    if (arrival.server != leaving.id() ||
        arrival.at <= std::max(acknowledged + kDrainS, in_touch))
      continue;
    ++late;
    from_first += traffic.instance_of[arrival.id] == "front-1";
    char text[160];
    std::snprintf(text, sizeof text,
                  "late: %s reached %s from %s, %.2f s after the store's "
                  "confirmation, %.2f s after the start of front-2",
                  arrival.id.c_str(), arrival.server.c_str(),
                  traffic.instance_of[arrival.id].c_str(),
                  arrival.at - acknowledged, arrival.at - second.started_at());
    Note(text);
  }
  const std::string summary =
      std::to_string(late) + " requests reached the draining server later " +
      "than DrainMs (" + std::to_string(from_first) + " from front-1); " +
      std::to_string(traffic.answered) + " of " + std::to_string(traffic.sent) +
      " requests answered";
  Note(summary);
  std::cout << summary << std::endl;
  return late > 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv, review::Run);
}
