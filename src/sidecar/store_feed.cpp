/** @file store_feed.cpp Reads and writes the platform's store. */
#include "sidecar/store_feed.h"

#include "sycamorelb/http/client_connection.h"
#include "sycamorelb/mesh/reader_func.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamorelb::sidecar {

using platform::store_topic;

/** Time to establish a connection to the store. */
static constexpr auto ConnectTimeout = millis(800);
/** Time for calls that don't wait; the store takes 4 ms when it is well. */
static constexpr auto CallTimeout = millis(2500);
/** How long the store holds a poll. A store that went silent without closing
 * its connections is noticed after this time and the margin. */
static constexpr auto PollWait = millis(5000);
/** Time beyond PollWait after which a poll has failed. */
static constexpr auto PollMargin = millis(1500);
/** Pause between polls; several changes then cost one call. */
static constexpr auto PollGap = micros(400'000);
/** Time in which a node that starts is given the configuration by others. */
static constexpr auto RelyAtStart = micros(700'000);
/** Interval at which a node that relies on others checks whether it must. */
static constexpr auto RelyInterval = micros(500'000);
/** Pauses after failures, doubled each time. */
static constexpr auto FirstPause = micros(300'000);
static constexpr auto LongestPause = micros(1'500'000);
/** The same for hosts that others of their zone go before. */
static constexpr auto FirstSparePause = micros(2'400'000);
static constexpr auto LongestSparePause = micros(4'000'000);
/** Longest response, in bytes. */
static constexpr auto MaxResponseBytes = std::size_t{64} * 1024 * 1024;

struct store_feed::implementation {
  using connection = std::shared_ptr<http::client_connection>;
  using response_handler = std::function<void(result<http::response>)>;

  node_state &State;
  store_events Events;
  connection Idle; // Kept between calls that don't wait.
  std::set<connection> Busy;
  connection Poll;
  std::uint64_t Run = 0; // Grows with each start.
  std::uint32_t Failures = 0;
  bool Lost = false;
  bool Closed = false;

  auto connect() -> connection;
  void call(const http::request &Request, millis Timeout, const char *Name,
            const connection &Connection, response_handler Handle);
  void listPages(store_topic Topic,
                 const std::shared_ptr<platform::store_page> &Sum,
                 const list_handler &Handle);
  void listOperator(std::uint64_t Started);
  void listMesh(std::uint64_t Started);
  void poll(std::uint64_t Started);
  void handlePoll(result<http::response> Response, log_offset From,
                  std::uint64_t Started);
  void noteResult(bool Ok, const std::string &Reason);
  void retry(std::uint64_t Started, std::function<void()> Again);
};

store_feed::store_feed(node_state &State, store_events Events)
    : Impl(std::make_unique<implementation>(
          implementation{State, std::move(Events), {}, {}, {}})) {}

store_feed::~store_feed() { close(); }

auto store_feed::implementation::connect() -> connection {
  auto Options = http::client_options();
  Options.ConnectTimeout = ConnectTimeout;
  Options.MaxBodyBytes = MaxResponseBytes;
  return http::client_connection::open(State.Loop, State.Settings.Store,
                                       Options);
}

void store_feed::implementation::call(const http::request &Request,
                                      millis Timeout, const char *Name,
                                      const connection &Connection,
                                      response_handler Handle) {
  auto Timer = std::make_shared<event::timer_id>();
  auto Once = std::make_shared<response_handler>(std::move(Handle));
  auto Finish = [this, Timer, Once, Connection,
                 Name](result<http::response> Result) {
    State.Loop.cancelTimer(*Timer);
    auto Report = std::exchange(*Once, nullptr);
    if (Busy.erase(Connection) > 0 && Connection->isReusable()) {
      Idle = Connection;
    }
    auto Outcome = isOk(Result)
                       ? std::to_string(valueOf(Result).Status)
                       : std::string(errorCodeName(errorOf(Result).Code));
    ++State.Counters.StoreCalls[std::string(Name) + " " + Outcome];
    if (Report) {
      Report(std::move(Result));
    }
  };
  Busy.insert(Connection);
  *Timer = State.Loop.addTimer(
      State.Loop.now() + Timeout, [Finish, Connection, Name] {
        Connection->close();
        Finish(error{error_code::Timeout, Name, "store", "no answer"});
      });
  Connection->exchange(Request, [Finish, Name](http::exchange_result Result) {
    if (auto *Response = std::get_if<http::response>(&Result)) {
      return Finish(std::move(*Response));
    }
    Finish(error{error_code::Unreachable, Name, "store",
                 std::get<http::exchange_failure>(Result).Reason});
  });
}

void store_feed::implementation::listPages(
    store_topic Topic, const std::shared_ptr<platform::store_page> &Sum,
    const list_handler &Handle) {
  auto After = Sum->Records.empty() ? std::string() : Sum->Records.back().Key;
  auto Connection =
      Idle && Idle->isReusable() ? std::exchange(Idle, nullptr) : connect();
  call(platform::listRequest(Topic, After), CallTimeout, "list", Connection,
       [this, Topic, Sum, Handle](result<http::response> Response) {
         if (!isOk(Response)) {
           return Handle(errorOf(Response));
         }
         auto Page = platform::decodeList(valueOf(Response));
         if (!isOk(Page)) {
           return Handle(errorOf(Page));
         }
         auto &Value = valueOf(Page);
         if (!Value.SkippedRecordFault.empty()) {
           ++State.Counters.BadInput["store"];
           State.Log.write(log_class::State, "store.unreadable",
                           {{"fault", Value.SkippedRecordFault}});
         }
         // The end at the first page bounds what a listing certainly holds.
         if (Sum->Records.empty()) {
           Sum->End = Value.End;
         }
         auto Progress = !Value.Records.empty();
         std::move(Value.Records.begin(), Value.Records.end(),
                   std::back_inserter(Sum->Records));
         if (Value.More && Progress) {
           return listPages(Topic, Sum, Handle);
         }
         Handle(std::move(*Sum));
       });
}

void store_feed::list(store_topic Topic, const list_handler &Handle) {
  Impl->listPages(Topic, std::make_shared<platform::store_page>(), Handle);
}

void store_feed::append(store_topic Topic, const std::string &Key,
                        const std::string &Value, std::optional<log_offset> At,
                        append_handler Handle) {
  auto Connection = Impl->Idle && Impl->Idle->isReusable()
                        ? std::exchange(Impl->Idle, nullptr)
                        : Impl->connect();
  Impl->call(platform::appendRequest(Topic, Key, Value, At), CallTimeout,
             "append", Connection,
             [Handle = std::move(Handle)](result<http::response> Response) {
               Handle(isOk(Response)
                          ? platform::decodeAppend(valueOf(Response))
                          : result<platform::append_ack>(errorOf(Response)));
             });
}

void store_feed::implementation::noteResult(bool Ok,
                                            const std::string &Reason) {
  Failures = Ok ? 0 : Failures + 1;
  if (Lost == !Ok) {
    return;
  }
  Lost = !Ok;
  State.Log.write(log_class::State, Ok ? "store.regained" : "store.lost",
                  {{"reason", Reason}});
  Events.OnStoreLost(Lost);
}

void store_feed::implementation::retry(std::uint64_t Started,
                                       std::function<void()> Again) {
  auto Spare = mesh::isSpareReader(State.Hosts, State.Own);
  auto First = Spare ? FirstSparePause : FirstPause;
  auto Pause = std::min(micros(First * (1LL << std::min(Failures, 4U)) / 2),
                        Spare ? LongestSparePause : LongestPause);
  auto Spread = 0.75 + 0.5 * randomUnit(State.Random);
  auto Wait = micros(
      static_cast<std::int64_t>(static_cast<double>(Pause.count()) * Spread));
  State.Loop.addTimer(State.Loop.now() + Wait,
                      [this, Started, Again = std::move(Again)] {
                        if (Started == Run && !Closed) {
                          Again();
                        }
                      });
}

void store_feed::implementation::listOperator(std::uint64_t Started) {
  if (Started != Run || Closed) {
    return;
  }
  listPages(
      store_topic::Operator, std::make_shared<platform::store_page>(),
      [this, Started](result<platform::store_page> Page) {
        if (Started != Run) {
          return;
        }
        auto Ok = isOk(Page);
        noteResult(Ok, Ok ? "" : describe(errorOf(Page)));
        if (!Ok) {
          return retry(Started, [this, Started] { listOperator(Started); });
        }
        auto &Value = valueOf(Page);
        auto From = State.Operator.end();
        auto Keys =
            State.Operator.mergeListing(Value.Records, Value.End, Value.End);
        Events.OnOperatorKeys(Keys, From);
        poll(Started);
      });
}

void store_feed::implementation::listMesh(std::uint64_t Started) {
  listPages(store_topic::Mesh, std::make_shared<platform::store_page>(),
            [this, Started](result<platform::store_page> Page) {
              if (Started != Run) {
                return;
              }
              auto Ok = isOk(Page);
              // A topic that nobody wrote to yet may not exist.
              auto Missing = !Ok && errorOf(Page).Code != error_code::Timeout &&
                             errorOf(Page).Code != error_code::Overloaded &&
                             errorOf(Page).Code != error_code::Unreachable;
              noteResult(Ok || Missing, Ok ? "" : describe(errorOf(Page)));
              if (!Ok && !Missing) {
                return retry(Started, [this, Started] { listMesh(Started); });
              }
              Events.OnMeshListed(Ok ? valueOf(Page).Records
                                     : std::vector<mesh::operator_record>());
              if (!Events.CanRely()) {
                return listOperator(Started);
              }
              State.Loop.addTimer(
                  State.Loop.now() + RelyAtStart, [this, Started] {
                    State.Routes ? poll(Started) : listOperator(Started);
                  });
            });
}

void store_feed::implementation::poll(std::uint64_t Started) {
  if (Started != Run || Closed) {
    return;
  }
  if (!Events.MustRead()) {
    State.Loop.addTimer(State.Loop.now() + RelyInterval,
                        [this, Started] { poll(Started); });
    return;
  }
  if (!Poll || !Poll->isReusable()) {
    Poll = connect();
  }
  auto From = State.Operator.end();
  call(platform::readRequest(store_topic::Operator, From, PollWait),
       PollWait + PollMargin, "poll", Poll,
       [this, From, Started](result<http::response> Response) {
         if (Started == Run && !Closed) {
           handlePoll(std::move(Response), From, Started);
         }
       });
}

void store_feed::implementation::handlePoll(result<http::response> Response,
                                            log_offset From,
                                            std::uint64_t Started) {
  auto Page = isOk(Response) ? platform::decodeRead(valueOf(Response), From)
                             : result<platform::store_page>(errorOf(Response));
  if (!isOk(Page)) {
    auto Expired = errorOf(Page).Code == error_code::NotFound;
    noteResult(Expired, describe(errorOf(Page)));
    if (Expired) {
      return listOperator(Started);
    }
    return retry(Started, [this, Started] { poll(Started); });
  }
  noteResult(true, "");
  auto Keys = std::vector<std::string>();
  for (const auto &Record : valueOf(Page).Records) {
    if (State.Operator.merge(Record)) {
      Keys.push_back(Record.Key);
    }
  }
  auto &Records = valueOf(Page).Records;
  State.Operator.noteEnd(
      Records.empty() ? From : log_offset{Records.back().Offset.Value + 1});
  if (!Keys.empty()) {
    Events.OnOperatorKeys(Keys, From);
  }
  State.Loop.addTimer(State.Loop.now() + PollGap,
                      [this, Started] { poll(Started); });
}

void store_feed::start() {
  ++Impl->Run;
  Impl->listMesh(Impl->Run);
}

void store_feed::restart() {
  if (Impl->Poll) {
    Impl->Poll->close();
    Impl->Poll = nullptr;
  }
  Impl->Idle = nullptr;
  ++Impl->Run;
  Impl->listOperator(Impl->Run);
}

void store_feed::close() {
  Impl->Closed = true;
  for (const auto &Connection : Impl->Busy) {
    Connection->close();
  }
  Impl->Busy.clear();
}

} // namespace sycamorelb::sidecar
