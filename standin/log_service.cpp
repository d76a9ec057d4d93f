/** @file log_service.cpp In-memory streams served over HTTP. */
#include "log_service.h"

#include "config/base64_func.h"
#include "cutting_server.h"
#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace sycamorelb::standin {

using nlohmann::json;

/** Limit on the record bytes in one answer. */
static constexpr std::size_t MaxAnswerBytes = 4 << 20;
/** Longest record accepted. */
static constexpr std::size_t MaxRecordBytes = 1 << 20;
/** Longest wait of a long poll. */
static constexpr std::int64_t MaxWaitMs = 60'000;
/** Records before the requested offset that a read returns with OldRecords. */
static constexpr std::uint64_t OldRecordCount = 5;

/** Stored record. */
struct stored_record {
  std::string Bytes;      ///< Content.
  steady_time AppendedAt; ///< Time of the append.
};

/** Stream of records; offsets start at 1. */
struct stream {
  std::uint64_t First = 1;           ///< Offset of the oldest stored record.
  std::deque<stored_record> Records; ///< Records from First on, without gaps.

  auto next() const -> std::uint64_t { return First + Records.size(); }
};

struct log_service::impl {
  log_service_options Options;
  cutting_server Server;
  std::uint16_t Port = 0;
  std::thread Thread;

  mutable std::mutex Mutex; ///< Guards all members below.
  std::condition_variable Appended;
  std::map<std::string, stream> Streams;
  log_faults Faults;
  log_service_counts Counts;
  std::deque<steady_time> RecentAppends; ///< Appends of the last second.

  void registerHandlers();
  void delayRequest();
  auto expireRecords(stream &Stream) -> stream &;
  auto exceedsAppendRate() -> bool;
  void handleAppend(const httplib::Request &Request, httplib::Response &Answer);
  void handleRead(const httplib::Request &Request, httplib::Response &Answer);
  void handleFaults(const httplib::Request &Request, httplib::Response &Answer);
};

static void reply(httplib::Response &Answer, int Status, const json &Body) {
  Answer.status = Status;
  Answer.set_content(Body.dump(), "application/json");
}

void log_service::impl::delayRequest() {
  auto Lock = std::unique_lock(Mutex);
  auto Until = steadyNow() + Faults.Stall;
  while (steadyNow() < Until && !Server.isStopping()) {
    Appended.wait_for(
        Lock, std::min(micros(Until - steadyNow()), micros(millis(50))));
  }
}

auto log_service::impl::expireRecords(stream &Stream) -> stream & {
  auto Now = steadyNow();
  while (!Stream.Records.empty() &&
         (Stream.First < Faults.ExpireBefore ||
          (Options.Retention.count() > 0 &&
           Now - Stream.Records.front().AppendedAt > Options.Retention))) {
    Stream.Records.pop_front();
    ++Stream.First;
  }
  return Stream;
}

auto log_service::impl::exceedsAppendRate() -> bool {
  auto Now = steadyNow();
  while (!RecentAppends.empty() &&
         Now - RecentAppends.front() >= std::chrono::seconds(1)) {
    RecentAppends.pop_front();
  }
  if (Faults.AppendsPerSecond > 0 &&
      RecentAppends.size() >= Faults.AppendsPerSecond) {
    return true;
  }
  RecentAppends.push_back(Now);
  return false;
}

void log_service::impl::handleAppend(const httplib::Request &Request,
                                     httplib::Response &Answer) {
  auto Lock = std::unique_lock(Mutex);
  auto IsTooLong = Request.body.size() > MaxRecordBytes;
  if (Faults.RefuseAppends || IsTooLong || exceedsAppendRate()) {
    ++Counts.Refused;
    auto Status = IsTooLong ? 413 : (Faults.RefuseAppends ? 503 : 429);
    reply(Answer, Status, {{"taken", false}});
    return;
  }
  auto &Stream = Streams[Request.matches[1]];
  Stream.Records.push_back({Request.body, steadyNow()});
  ++Counts.Appends;
  reply(Answer, 200, {{"offset", Stream.next() - 1}});
  if (Faults.LoseAnswers) {
    closeWithoutAnswer();
  }
  Appended.notify_all();
}

/** @return the value of a query parameter, or Default if it is absent or
 * not a number. */
static auto numberParameter(const httplib::Request &Request, const char *Name,
                            std::uint64_t Default) -> std::uint64_t {
  auto Text = Request.get_param_value(Name);
  auto Digits = !Text.empty() && Text.size() < 19 &&
                std::all_of(Text.begin(), Text.end(), [](char Byte) {
                  return Byte >= '0' && Byte <= '9';
                });
  return Digits ? std::stoull(Text) : Default;
}

/** @return up to Max records from an offset on, limited to MaxAnswerBytes. */
static auto listRecords(const stream &Stream, std::uint64_t From,
                        std::uint64_t Max) -> json {
  auto List = json::array();
  auto Bytes = std::size_t{0};
  for (auto Offset = From; Offset < Stream.next() && List.size() < Max;
       ++Offset) {
    const auto &Record = Stream.Records[Offset - Stream.First];
    Bytes += Record.Bytes.size();
    if (Bytes > MaxAnswerBytes && !List.empty()) {
      break;
    }
    List.push_back(
        {{"offset", Offset}, {"data", config::encodeBase64(Record.Bytes)}});
  }
  return List;
}

void log_service::impl::handleRead(const httplib::Request &Request,
                                   httplib::Response &Answer) {
  auto From = numberParameter(Request, "from", 0);
  auto Max = numberParameter(Request, "max", 100);
  auto Wait = static_cast<std::int64_t>(numberParameter(Request, "wait_ms", 0));
  if (From == 0) {
    reply(Answer, 400, {{"error", "from must be at least 1"}});
    return;
  }
  auto Lock = std::unique_lock(Mutex);
  auto Name = std::string(Request.matches[1]);
  Appended.wait_for(Lock, millis(std::min(Wait, MaxWaitMs)),
                    [this, &Name, From] {
                      return Server.isStopping() || Faults.Down ||
                             From < Streams[Name].next();
                    });
  auto &Stream = expireRecords(Streams[Name]);
  ++Counts.Reads;
  auto Body = json{{"first", Stream.First}, {"next", Stream.next()}};
  if (Faults.Down) {
    closeWithoutAnswer();
  }
  if (From < Stream.First) {
    reply(Answer, 410, Body);
    return;
  }
  if (Faults.OldRecords) {
    auto OldCount = std::min(OldRecordCount, From - Stream.First);
    From -= OldCount;
    Max += OldCount;
  }
  Body["records"] = listRecords(Stream, From, Max);
  reply(Answer, 200, Body);
}

void log_service::impl::handleFaults(const httplib::Request &Request,
                                     httplib::Response &Answer) {
  auto Body = json::parse(Request.body, nullptr, false);
  if (!Body.is_object()) {
    reply(Answer, 400, {{"error", "a JSON object is needed"}});
    return;
  }
  auto Lock = std::unique_lock(Mutex);
  try {
    auto Next = Faults;
    Next.Stall = millis(Body.value("stall_ms", Next.Stall.count()));
    Next.LoseAnswers = Body.value("lose_answers", Next.LoseAnswers);
    Next.RefuseAppends = Body.value("refuse_appends", Next.RefuseAppends);
    Next.Down = Body.value("down", Next.Down);
    Next.OldRecords = Body.value("old_records", Next.OldRecords);
    Next.ExpireBefore = Body.value("expire_before", Next.ExpireBefore);
    Next.AppendsPerSecond =
        Body.value("appends_per_second", Next.AppendsPerSecond);
    Faults = Next;
  } catch (const json::exception &Error) {
    reply(Answer, 400, {{"error", Error.what()}});
    return;
  }
  Appended.notify_all();
  reply(Answer, 200, json::object());
}

void log_service::impl::registerHandlers() {
  using request = httplib::Request;
  using response = httplib::Response;
  using handled = httplib::Server::HandlerResponse;
  Server.new_task_queue = [Threads = Options.Threads] {
    return new httplib::ThreadPool(Threads);
  };
  Server.set_pre_routing_handler([this](const request &Request, response &) {
    if (Request.path == "/faults" || Request.path == "/stats") {
      return handled::Unhandled;
    }
    delayRequest();
    auto Lock = std::unique_lock(Mutex);
    if (Faults.Down) {
      closeWithoutAnswer();
      return handled::Handled;
    }
    return handled::Unhandled;
  });
  Server.Post("/faults", [this](const request &Request, response &Answer) {
    handleFaults(Request, Answer);
  });
  Server.Get("/stats", [this](const request &, response &Answer) {
    auto Lock = std::unique_lock(Mutex);
    reply(Answer, 200,
          {{"appends", Counts.Appends},
           {"refused", Counts.Refused},
           {"reads", Counts.Reads}});
  });
  Server.Post("/streams/([A-Za-z0-9_-]+)/records",
              [this](const request &Request, response &Answer) {
                handleAppend(Request, Answer);
              });
  Server.Get("/streams/([A-Za-z0-9_-]+)/records",
             [this](const request &Request, response &Answer) {
               handleRead(Request, Answer);
             });
}

log_service::log_service(log_service_options Options)
    : Impl(std::make_unique<impl>()) {
  Impl->Options = Options;
  Impl->registerHandlers();
  Impl->Port = Impl->Server.bindLoopback(Options.Port);
  if (Impl->Port != 0) {
    Impl->Thread = std::thread([this] { Impl->Server.listen_after_bind(); });
    // The library ignores a stop() that comes before the server runs.
    while (!Impl->Server.is_running()) {
      std::this_thread::yield();
    }
  }
}

log_service::~log_service() { stop(); }

void log_service::stop() {
  if (Impl->Thread.joinable()) {
    Impl->Server.stopPromptly();
    {
      // A waiter that checked the stop flag just before holds the mutex until
      // it waits. Acquiring the mutex here makes sure that the notification
      // reaches every waiter.
      auto Lock = std::unique_lock(Impl->Mutex);
    }
    Impl->Appended.notify_all();
    Impl->Thread.join();
  }
}

auto log_service::port() const -> std::uint16_t { return Impl->Port; }

void log_service::setFaults(const log_faults &Faults) {
  auto Lock = std::unique_lock(Impl->Mutex);
  Impl->Faults = Faults;
  Impl->Appended.notify_all();
}

auto log_service::append(const std::string &Stream, const std::string &Bytes)
    -> std::uint64_t {
  auto Lock = std::unique_lock(Impl->Mutex);
  auto &Target = Impl->Streams[Stream];
  Target.Records.push_back({Bytes, steadyNow()});
  Impl->Appended.notify_all();
  return Target.next() - 1;
}

auto log_service::records(const std::string &Stream) const
    -> std::vector<std::string> {
  auto Lock = std::unique_lock(Impl->Mutex);
  auto Result = std::vector<std::string>();
  for (const auto &Record :
       Impl->expireRecords(Impl->Streams[Stream]).Records) {
    Result.push_back(Record.Bytes);
  }
  return Result;
}

auto log_service::counts() const -> log_service_counts {
  auto Lock = std::unique_lock(Impl->Mutex);
  return Impl->Counts;
}

} // namespace sycamorelb::standin
