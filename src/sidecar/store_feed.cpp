/** @file store_feed.cpp Client of the platform's store. */
#include "sidecar/store_feed_state.h"

#include "sycamorelb/mesh/reader_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using platform::store_topic;

/** Bounds of the wait of a poll. */
static constexpr auto MinPollWait = millis(500);
static constexpr auto MaxPollWait = millis(5000);
/** Share of the time for a change to be in force that a poll waits, and what is
 * taken off for the delay between polls. */
static constexpr auto PollWaitPercent = 60;
static constexpr auto PollWaitReserve = millis(200);
/** Idle time up to which a connection to the store is used: one that has gone
 * silent meanwhile would only show by a timeout. More than StorePollDelay. */
static constexpr auto MaxStoreIdle = micros(1'000'000);
/** Time to establish a connection to the store. */
static constexpr auto ConnectTimeout = millis(800);
/** Timeout of calls other than long polls; a healthy store answers in 4 ms. */
static constexpr auto CallTimeout = millis(2500);
/** Time beyond its wait after which a poll times out. After an answer to
 * the previous poll it is short, since most likely only the connection no
 * longer works; a slow store needs more. */
static constexpr auto PollMargin = millis(1200);
static constexpr auto ReconnectMargin = millis(400);
/** Time for a starting node to receive the configuration from a reader in its
 * zone before it lists the operator topic itself. */
static constexpr auto ZoneReaderStartupWait = micros(700'000);
/** Longest interval at which a node that does not poll checks whether it must.
 */
static constexpr auto ReaderCheckInterval = micros(500'000);
/** Delay after a failure; doubles with each further failure. */
static constexpr auto InitialRetryDelay = micros(300'000);
static constexpr auto MaxRetryDelay = micros(1'500'000);
/** The same for spare readers, see mesh::isSpareReader(). */
static constexpr auto InitialSpareRetryDelay = micros(2'400'000);
static constexpr auto MaxSpareRetryDelay = micros(4'000'000);
/** Maximum size of a response. */
static constexpr auto MaxResponseBytes = std::size_t{64} * 1024 * 1024;

auto storePollWait(millis ConfigApply) -> millis {
  return std::clamp(ConfigApply * PollWaitPercent / 100 - PollWaitReserve,
                    MinPollWait, MaxPollWait);
}

store_feed::store_feed(node_state &State, store_events Events)
    : Impl(std::make_unique<implementation>(
          implementation{State, std::move(Events), {}, {}, {}})) {}

store_feed::~store_feed() { close(); }

auto store_feed::implementation::connect() -> connection {
  auto Options = http::client_options();
  Options.ConnectTimeout = ConnectTimeout;
  Options.MaxBodyBytes = MaxResponseBytes;
  return http::client_connection::open(State.Loop, State.Settings.StoreAddress,
                                       Options);
}

auto store_feed::implementation::isUsable(const connection &Connection) const
    -> bool {
  return Connection && Connection->isReusable() &&
         State.Loop.now() - Connection->idleSince() <= MaxStoreIdle;
}

auto store_feed::implementation::takeConnection() -> connection {
  auto Connection = std::exchange(IdleConnection, nullptr);
  return isUsable(Connection) ? Connection : connect();
}

void store_feed::implementation::sendRequest(const http::request &Request,
                                             millis Timeout, const char *Name,
                                             const connection &Connection,
                                             response_handler Handle) {
  auto Timer = std::make_shared<event::timer_id>();
  auto SharedHandler = std::make_shared<response_handler>(std::move(Handle));
  auto Finish = [this, Timer, SharedHandler, Connection,
                 Name](result<http::response> Result) {
    State.Loop.cancelTimer(*Timer);
    auto Handler = std::exchange(*SharedHandler, nullptr);
    if (BusyConnections.erase(Connection) > 0 && Connection->isReusable()) {
      IdleConnection = Connection;
    }
    auto Outcome = isOk(Result)
                       ? std::to_string(valueOf(Result).Status)
                       : std::string(errorCodeName(errorOf(Result).Code));
    ++State.Counters.StoreCalls[std::string(Name) + " " + Outcome];
    if (isOk(Result)) {
      noteEra(platform::decodeStoreEra(valueOf(Result)), true);
    }
    if (Handler) {
      Handler(std::move(Result));
    }
  };
  BusyConnections.insert(Connection);
  *Timer = State.Loop.addTimer(
      State.Loop.now() + Timeout, [Finish, Connection, Name] {
        Connection->close();
        Finish(error{error_code::Timeout, Name, "store",
                     "no response before the timeout"});
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
    store_topic Topic, const std::shared_ptr<platform::store_page> &Accumulated,
    const list_handler &Handle) {
  auto After = Accumulated->Records.empty() ? std::string()
                                            : Accumulated->Records.back().Key;
  auto Connection = takeConnection();
  sendRequest(
      platform::listRequest(Topic, After), CallTimeout, "list", Connection,
      [this, Topic, Accumulated, Handle](result<http::response> Response) {
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
        if (!Accumulated->Records.empty() && Value.Era != Accumulated->Era) {
          return Handle(error{error_code::Unreachable, "list", "store",
                              "the era changed during the listing"});
        }
        // Records appended while later pages are read may be missing from the
        // listing, so only the end reported with the first page is reliable.
        if (Accumulated->Records.empty()) {
          Accumulated->End = Value.End;
          Accumulated->Era = Value.Era;
        }
        stampEra(Value);
        auto HasRecords = !Value.Records.empty();
        std::move(Value.Records.begin(), Value.Records.end(),
                  std::back_inserter(Accumulated->Records));
        if (Value.More && HasRecords) {
          return listPages(Topic, Accumulated, Handle);
        }
        Handle(std::move(*Accumulated));
      });
}

void store_feed::list(store_topic Topic, const list_handler &Handle) {
  Impl->listPages(Topic, std::make_shared<platform::store_page>(), Handle);
}

void store_feed::append(store_topic Topic, const std::string &Key,
                        const std::string &Value, std::optional<log_offset> At,
                        append_handler Handle) {
  auto Connection = Impl->takeConnection();
  Impl->sendRequest(
      platform::appendRequest(Topic, Key, Value, At), CallTimeout, "append",
      Connection,
      [Handle = std::move(Handle)](result<http::response> Response) {
        Handle(isOk(Response)
                   ? platform::decodeAppend(valueOf(Response))
                   : result<platform::append_ack>(errorOf(Response)));
      });
}

void store_feed::implementation::recordResult(bool Succeeded,
                                              const std::string &Reason) {
  ConsecutiveFailures = Succeeded ? 0 : ConsecutiveFailures + 1;
  if (Lost == !Succeeded) {
    return;
  }
  Lost = !Succeeded;
  State.Log.write(log_class::State, Succeeded ? "store.regained" : "store.lost",
                  {{"reason", Reason}});
  Events.OnStoreLostChanged(Lost);
}

void store_feed::implementation::recordAnswer(
    const char *Call, const std::vector<std::string> &Keys,
    std::optional<steady_time> CompleteAt) {
  auto &Source = State.RecordSource;
  if (!Keys.empty()) {
    Source.LastChange = Call;
  }
  if (CompleteAt) {
    Source.ConfirmedAt = std::max(Source.ConfirmedAt, *CompleteAt);
  }
}

void store_feed::implementation::scheduleRetry(std::uint64_t Generation,
                                               const error &Failure,
                                               std::function<void()> Action) {
  auto Spare = mesh::isSpareReader(State.Hosts, State.Own);
  auto InitialDelay = Spare ? InitialSpareRetryDelay : InitialRetryDelay;
  // A timeout has already lasted longer than most delays.
  auto Failures = Failure.Code == error_code::Timeout
                      ? 1U
                      : std::min(ConsecutiveFailures, 4U);
  auto Delay = std::min(micros(InitialDelay * (1LL << Failures) / 2),
                        Spare ? MaxSpareRetryDelay : MaxRetryDelay);
  auto Jitter = 0.75 + 0.5 * randomUnit(State.Random);
  auto JitteredDelay = micros(
      static_cast<std::int64_t>(static_cast<double>(Delay.count()) * Jitter));
  State.Loop.addTimer(State.Loop.now() + JitteredDelay,
                      [this, Generation, Action = std::move(Action)] {
                        if (Generation == CurrentGeneration && !Closed) {
                          Action();
                        }
                      });
}

void store_feed::implementation::listOperatorTopic(std::uint64_t Generation) {
  if (Generation != CurrentGeneration || Closed) {
    return;
  }
  listPages(store_topic::Operator, std::make_shared<platform::store_page>(),
            [this, Generation,
             SentAt = State.Loop.now()](result<platform::store_page> Page) {
              if (Generation != CurrentGeneration) {
                return;
              }
              if (isOk(Page) && valueOf(Page).Era.Value > 0 &&
                  valueOf(Page).Era < State.StoreEra) {
                Page = error{error_code::Unreachable, "list", "store",
                             "answer of an earlier era"};
              }
              auto Succeeded = isOk(Page);
              recordResult(Succeeded, Succeeded ? "" : describe(errorOf(Page)));
              if (!Succeeded) {
                return scheduleRetry(
                    Generation, errorOf(Page),
                    [this, Generation] { listOperatorTopic(Generation); });
              }
              auto &Value = valueOf(Page);
              auto From = State.Operator.end();
              auto Keys = State.Operator.mergeListing(Value.Records, Value.End,
                                                      Value.End);
              recordAnswer("list", Keys, SentAt);
              Events.OnOperatorRecords(Keys, From);
              Events.OnOperatorConfirmed();
              poll(Generation);
            });
}

void store_feed::implementation::listMeshTopic(std::uint64_t Generation) {
  listPages(
      store_topic::Mesh, std::make_shared<platform::store_page>(),
      [this, Generation](result<platform::store_page> Page) {
        if (Generation != CurrentGeneration) {
          return;
        }
        auto Succeeded = isOk(Page);
        // The topic may not exist before the first write.
        auto Missing = !Succeeded &&
                       errorOf(Page).Code != error_code::Timeout &&
                       errorOf(Page).Code != error_code::Overloaded &&
                       errorOf(Page).Code != error_code::Unreachable;
        recordResult(Succeeded || Missing,
                     Succeeded ? "" : describe(errorOf(Page)));
        if (!Succeeded && !Missing) {
          return scheduleRetry(Generation, errorOf(Page), [this, Generation] {
            listMeshTopic(Generation);
          });
        }
        Events.OnMeshListed(Succeeded ? valueOf(Page).Records
                                      : std::vector<mesh::operator_record>());
        if (!Events.CanUseZoneReader()) {
          return listOperatorTopic(Generation);
        }
        State.Loop.addTimer(
            State.Loop.now() + ZoneReaderStartupWait, [this, Generation] {
              State.Routes ? poll(Generation) : listOperatorTopic(Generation);
            });
      });
}

void store_feed::implementation::poll(std::uint64_t Generation) {
  if (Generation != CurrentGeneration || Closed) {
    return;
  }
  auto Now = State.Loop.now();
  auto ReadTime = Events.StoreReadTime();
  if (ReadTime > Now) {
    State.Loop.addTimer(std::min(ReadTime, Now + ReaderCheckInterval),
                        [this, Generation] { poll(Generation); });
    return;
  }
  if (!isUsable(PollConnection)) {
    PollConnection = connect();
  }
  auto From = State.Operator.end();
  auto Margin = ConsecutiveFailures == 0 ? ReconnectMargin : PollMargin;
  auto Wait = storePollWait(State.Settings.Bounds.ConfigApply);
  sendRequest(platform::readRequest(store_topic::Operator, From, Wait),
              Wait + Margin, "poll", PollConnection,
              [this, From, Now, Generation](result<http::response> Response) {
                if (Generation == CurrentGeneration && !Closed) {
                  handlePoll(std::move(Response), From, Now, Generation);
                }
              });
}

void store_feed::implementation::handlePoll(result<http::response> Response,
                                            log_offset From, steady_time SentAt,
                                            std::uint64_t Generation) {
  auto Page = isOk(Response) ? platform::decodeRead(valueOf(Response), From)
                             : result<platform::store_page>(errorOf(Response));
  if (!isOk(Page)) {
    auto Code = errorOf(Page).Code;
    if (Code == error_code::Timeout && ConsecutiveFailures == 0) {
      ++ConsecutiveFailures;
      State.Log.write(log_class::State, "store.silent",
                      {{"waited_us", (State.Loop.now() - SentAt).count()}});
      return poll(Generation);
    }
    auto Expired = Code == error_code::NotFound;
    recordResult(Expired, describe(errorOf(Page)));
    if (Expired) {
      return listOperatorTopic(Generation);
    }
    return scheduleRetry(Generation, errorOf(Page),
                         [this, Generation] { poll(Generation); });
  }
  recordResult(true, "");
  stampEra(valueOf(Page));
  auto Keys = std::vector<std::string>();
  for (const auto &Record : valueOf(Page).Records) {
    if (State.Operator.merge(Record)) {
      Keys.push_back(Record.Key);
    }
  }
  auto &Records = valueOf(Page).Records;
  State.Operator.advanceEnd(
      Records.empty() ? From : log_offset{Records.back().Offset.Value + 1});
  // The store answered at most the wait of the poll after the request; the
  // answer may have been delayed on the way.
  auto AnsweredAt =
      std::min(State.Loop.now(),
               SentAt + storePollWait(State.Settings.Bounds.ConfigApply));
  auto IsComplete = State.Operator.end() >= valueOf(Page).End;
  recordAnswer("poll", Keys,
               IsComplete ? std::optional(AnsweredAt) : std::nullopt);
  if (!Keys.empty()) {
    Events.OnOperatorRecords(Keys, From);
  } else {
    Events.OnOperatorConfirmed();
  }
  State.Loop.addTimer(State.Loop.now() + StorePollDelay,
                      [this, Generation] { poll(Generation); });
}

void store_feed::start() {
  ++Impl->CurrentGeneration;
  Impl->listMeshTopic(Impl->CurrentGeneration);
}

void store_feed::restart() {
  if (Impl->PollConnection) {
    Impl->PollConnection->close();
    Impl->PollConnection = nullptr;
  }
  Impl->IdleConnection = nullptr;
  ++Impl->CurrentGeneration;
  Impl->listOperatorTopic(Impl->CurrentGeneration);
}

void store_feed::close() {
  Impl->Closed = true;
  for (const auto &Connection : Impl->BusyConnections) {
    Connection->close();
  }
  Impl->BusyConnections.clear();
}

} // namespace sycamorelb::sidecar
