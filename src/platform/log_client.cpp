/** @file log_client.cpp HTTP client of the log service. */
#include "sycamorelb/platform/log_client.h"

#include "config/base64_func.h"
#include "config/json_read.h"
#include "config/json_text.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/core/mutex.h"

#include <algorithm>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <set>
#include <utility>

namespace sycamorelb::platform {

using nlohmann::json;
using pool_lock = std::unique_lock<ranked_mutex<lock_rank::ConnectionPools>>;

/** Maximum number of idle connections; others are closed after use. */
static constexpr std::size_t MaxIdleClients = 4;
/** Maximum length of a stream name. */
static constexpr std::size_t MaxStreamNameBytes = 64;

/** Response to one request, or the transport error. */
struct http_result {
  httplib::Error Error = httplib::Error::Success; ///< Transport error.
  int Status = 0;                                 ///< HTTP status.
  std::string Body;         ///< Body up to the size limit.
  bool BodyTooLong = false; ///< Body exceeded the size limit.
};

struct log_client::impl {
  log_client_settings Settings;
  ranked_mutex<lock_rank::ConnectionPools> Mutex; ///< Guards all members below.
  std::condition_variable_any Returned; ///< Notified when a request ends.
  std::vector<std::unique_ptr<httplib::Client>> Idle; ///< Idle connections.
  std::set<httplib::Client *> Busy;                   ///< Requests in progress.
  bool Stopped = false;                               ///< stop() was called.

  auto peer() const -> std::string {
    return Settings.Host + ":" + std::to_string(Settings.Port);
  }

  auto fail(error_code Code, const char *Step, std::string Message) const
      -> error {
    return {Code, Step, peer(), std::move(Message)};
  }

  auto acquireClient() -> std::unique_ptr<httplib::Client>;
  void releaseClient(std::unique_ptr<httplib::Client> Client, bool Reusable);
  auto sendRequest(httplib::Request Request, millis Timeout) -> http_result;
};

static void setTimeouts(httplib::Client &Client, millis ConnectTimeout,
                        millis TotalTimeout) {
  Client.set_connection_timeout(std::min(ConnectTimeout, TotalTimeout));
  Client.set_read_timeout(TotalTimeout);
  Client.set_write_timeout(TotalTimeout);
}

auto log_client::impl::acquireClient() -> std::unique_ptr<httplib::Client> {
  auto Lock = pool_lock(Mutex);
  if (Stopped) {
    return nullptr;
  }
  auto Client = std::unique_ptr<httplib::Client>();
  if (Idle.empty()) {
    Client = std::make_unique<httplib::Client>(Settings.Host, Settings.Port);
    Client->set_keep_alive(true);
    Client->set_tcp_nodelay(true);
    Client->set_decompress(false);
  } else {
    Client = std::move(Idle.back());
    Idle.pop_back();
  }
  Busy.insert(Client.get());
  return Client;
}

void log_client::impl::releaseClient(std::unique_ptr<httplib::Client> Client,
                                     bool Reusable) {
  auto Lock = pool_lock(Mutex);
  Busy.erase(Client.get());
  if (Reusable && !Stopped && Idle.size() < MaxIdleClients) {
    Idle.push_back(std::move(Client));
  }
  Returned.notify_all();
}

auto log_client::impl::sendRequest(httplib::Request Request, millis Timeout)
    -> http_result {
  auto Result = http_result();
  auto Client = acquireClient();
  if (!Client) {
    // The client was stopped, so nothing was sent.
    Result.Error = httplib::Error::Connection;
    return Result;
  }
  setTimeouts(*Client, Settings.ConnectTimeout, Timeout);
  // The library's read timeout limits each read, not the whole response.
  auto Deadline = steadyNow() + Timeout;
  Request.content_receiver =
      [&Result, Deadline, Max = Settings.MaxResponseBytes](
          const char *Data, std::size_t Length, std::uint64_t, std::uint64_t) {
        Result.BodyTooLong = Result.Body.size() + Length > Max;
        if (Result.BodyTooLong || steadyNow() > Deadline) {
          return false;
        }
        Result.Body.append(Data, Length);
        return true;
      };
  auto Response = httplib::Response();
  auto Sent = Client->send(Request, Response, Result.Error);
  if (!Sent && Result.Error == httplib::Error::Success) {
    Result.Error = httplib::Error::Unknown;
  }
  Result.Status = Response.status;
  releaseClient(std::move(Client), Sent);
  return Result;
}

log_client::log_client(log_client_settings Settings)
    : Impl(std::make_unique<impl>()) {
  Impl->Settings = std::move(Settings);
}

log_client::~log_client() { stop(); }

void log_client::stop() {
  auto Lock = pool_lock(Impl->Mutex);
  Impl->Stopped = true;
  Impl->Idle.clear();
  while (!Impl->Busy.empty()) {
    for (auto *Client : Impl->Busy) {
      Client->stop();
    }
    // A client that is about to connect is not affected by stop(), so it is
    // stopped repeatedly until its request ends.
    Impl->Returned.wait_for(Lock, millis(20));
  }
}

/** @return whether the name is valid in a URL path without escaping. */
static auto isStreamName(const std::string &Stream) -> bool {
  return !Stream.empty() && Stream.size() <= MaxStreamNameBytes &&
         std::all_of(Stream.begin(), Stream.end(), [](unsigned char Byte) {
           return std::isalnum(Byte) != 0 || Byte == '-' || Byte == '_';
         });
}

static auto parseBody(const std::string &Body) -> json {
  auto Document = config::json_document();
  return config::parseJson(Body, Document) ? json() : std::move(Document.Root);
}

static auto reportsNotTaken(const std::string &Body) -> bool {
  auto Root = parseBody(Body);
  return Root.is_object() && Root.contains("taken") && Root["taken"] == false;
}

auto log_client::append(const std::string &Stream, std::string_view Bytes,
                        millis Timeout) -> append_result {
  static constexpr char Step[] = "append to log";
  if (!isStreamName(Stream)) {
    return append_refused{
        Impl->fail(error_code::InvalidArgument, Step, "invalid stream name")};
  }
  auto Request = httplib::Request();
  Request.method = "POST";
  Request.path = "/streams/" + Stream + "/records";
  Request.set_header("Content-Type", "application/octet-stream");
  Request.body = Bytes;
  auto Answer = Impl->sendRequest(std::move(Request), Timeout);
  if (Answer.Error == httplib::Error::Connection) {
    return append_refused{
        Impl->fail(error_code::Unreachable, Step, "connection refused")};
  }
  if (Answer.Error != httplib::Error::Success) {
    return append_unknown{Impl->fail(error_code::Timeout, Step,
                                     httplib::to_string(Answer.Error))};
  }
  auto Root = parseBody(Answer.Body);
  auto Reader = config::json_reader(Root);
  auto Offset = Reader.number("offset");
  if (Answer.Status == 200 && !Reader.invalidMember() && Offset > 0) {
    return append_done{{Offset}};
  }
  auto Message = "status " + std::to_string(Answer.Status);
  auto Refusal =
      (Answer.Status >= 400 && Answer.Status < 500) || Answer.Status == 503;
  if (Refusal && reportsNotTaken(Answer.Body)) {
    auto Busy = Answer.Status == 503 || Answer.Status == 429;
    return append_refused{
        Impl->fail(Busy ? error_code::Overloaded : error_code::InvalidArgument,
                   Step, Message)};
  }
  return append_unknown{Impl->fail(error_code::Timeout, Step, Message)};
}

/** Parses the records of a response and drops those before From.
 * @return false if the list or a record is malformed. */
static auto parseRecords(const json &Root, log_offset From,
                         std::vector<config::raw_record> &Records) -> bool {
  auto Reader = config::json_reader(Root);
  const auto *List = Reader.any("records");
  if (List == nullptr || !List->is_array()) {
    return false;
  }
  auto Last = std::uint64_t{0};
  for (const auto &Item : *List) {
    auto Member = config::json_reader(Item);
    auto Offset = Member.number("offset");
    const auto *Data = Member.any("data");
    if (Member.invalidMember() || !Data->is_string() || Offset <= Last) {
      return false;
    }
    auto Bytes = config::decodeBase64(Data->get_ref<const std::string &>());
    if (!Bytes) {
      return false;
    }
    Last = Offset;
    if (Offset >= From.Value) {
      Records.push_back({{Offset}, std::move(*Bytes)});
    }
  }
  return true;
}

static auto makeReadRequest(const std::string &Stream, log_offset From,
                            std::size_t Max, millis Wait) -> httplib::Request {
  auto Request = httplib::Request();
  Request.method = "GET";
  Request.path = "/streams/" + Stream +
                 "/records?from=" + std::to_string(From.Value) +
                 "&max=" + std::to_string(Max) +
                 "&wait_ms=" + std::to_string(Wait.count());
  return Request;
}

auto log_client::read(const std::string &Stream, log_offset From,
                      std::size_t Max, millis Wait) -> read_result {
  static constexpr char Step[] = "read log";
  if (!isStreamName(Stream) || From.Value == 0 || Max == 0) {
    return Impl->fail(error_code::InvalidArgument, Step,
                      "invalid stream name, offset or maximum");
  }
  auto TotalTimeout = Wait + Impl->Settings.ReadMargin;
  auto Answer =
      Impl->sendRequest(makeReadRequest(Stream, From, Max, Wait), TotalTimeout);
  // The records are large; requests fewer of them.
  while (Answer.BodyTooLong && Max > 1) {
    Max /= 2;
    Answer = Impl->sendRequest(makeReadRequest(Stream, From, Max, Wait),
                               TotalTimeout);
  }
  if (Answer.BodyTooLong) {
    return Impl->fail(error_code::Corrupt, Step,
                      "the response exceeds the size limit");
  }
  if (Answer.Error != httplib::Error::Success) {
    auto NotConnected = Answer.Error == httplib::Error::Connection ||
                        Answer.Error == httplib::Error::ConnectionTimeout;
    return Impl->fail(NotConnected ? error_code::Unreachable
                                   : error_code::Timeout,
                      Step, httplib::to_string(Answer.Error));
  }
  if (Answer.Status != 200 && Answer.Status != 410) {
    auto Busy = Answer.Status == 503 || Answer.Status == 429;
    return Impl->fail(Busy ? error_code::Overloaded : error_code::Internal,
                      Step, "HTTP status " + std::to_string(Answer.Status));
  }
  auto Root = parseBody(Answer.Body);
  auto Reader = config::json_reader(Root);
  auto Batch =
      read_batch{{Reader.number("first")}, {Reader.number("next")}, {}};
  if (Reader.invalidMember()) {
    return Impl->fail(error_code::Corrupt, Step,
                      "malformed response: no valid \"first\" and \"next\"");
  }
  if (Answer.Status == 410) {
    return read_expired{Batch.First, Batch.Next};
  }
  if (!parseRecords(Root, From, Batch.Records)) {
    return Impl->fail(error_code::Corrupt, Step,
                      "malformed response: invalid \"records\"");
  }
  return Batch;
}

} // namespace sycamorelb::platform
