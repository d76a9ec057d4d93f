/** @file store_sim.cpp Stand-in of the platform's store. */
#include "store_sim.h"

#include "config/base64_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

namespace sycamorelb::sim {

/** Bytes of each of the two numbers before the records of a read. */
static constexpr auto ReadHeaderBytes = 8U;

/** @return the value of a parameter in the query of a request, or "". */
static auto queryParameter(const http::request &Request,
                           const std::string &Name) -> std::string {
  auto Start = Request.Target.find(Name + "=");
  if (Start == std::string::npos) {
    return "";
  }
  Start += Name.size() + 1;
  return Request.Target.substr(Start, Request.Target.find('&', Start) - Start);
}

static void appendBigEndian(std::string &Out, std::uint64_t Number,
                            unsigned Bytes) {
  while (Bytes-- > 0) {
    Out += static_cast<char>((Number >> (8 * Bytes)) & 0xffU);
  }
}

void store_stand_in::serveNode(int Node, const event::endpoint &Address) {
  auto Opened = event::listener::open(
      Loop, Address, [this, Node](std::shared_ptr<event::stream> Stream) {
        auto Connection = http::server_connection::create(
            std::move(Stream), http::server_options(),
            [this, Node](const connection &Caller,
                         http::exchange_number Exchange,
                         const http::request &Request) {
              receive(Node, Caller, Exchange, Request);
            });
        auto &Client = Clients[Node];
        Connection->OnClosed = [&Client, Weak = std::weak_ptr(Connection)] {
          auto Closed = Weak.lock();
          Client.Connections.erase(Closed);
          Client.SilentConnections.erase(Closed);
        };
        Client.Connections.insert(Connection);
      });
  cr_assert(isOk(Opened), "the store can't listen");
  Clients[Node].Listener = std::move(valueOf(Opened));
}

void store_stand_in::setAccess(int Node, store_access Access) {
  Clients[Node].Access = Access;
  if (Access == store_access::Silent) {
    dropPolls(Node);
  }
}

void store_stand_in::silenceConnections(int Node) {
  auto &Client = Clients[Node];
  Client.SilentConnections = Client.Connections;
  dropPolls(Node);
}

void store_stand_in::dropPolls(int Node) {
  std::erase_if(Polls, [this, Node](const auto &Entry) {
    if (Entry.second.Node != Node) {
      return false;
    }
    Loop.cancelTimer(Entry.second.Timer);
    return true;
  });
}

void store_stand_in::append(const std::string &Topic, const std::string &Key,
                            const std::string &Value) {
  Topics[Topic].emplace_back(Key, Value);
  AppendedAt[Topic].push_back(Loop.now());
  auto Ready = std::vector<std::uint64_t>();
  for (const auto &[Id, Poll] : Polls) {
    if (Poll.Topic == Topic && Poll.From < Topics[Topic].size()) {
      Ready.push_back(Id);
    }
  }
  for (auto Id : Ready) {
    answerPoll(Id);
  }
}

void store_stand_in::rewind(micros Age, micros RewriteDelay) {
  ++Era;
  for (auto &[Topic, Records] : Topics) {
    auto &Times = AppendedAt[Topic];
    auto Kept = static_cast<std::size_t>(
        std::lower_bound(Times.begin(), Times.end(), Loop.now() - Age) -
        Times.begin());
    if (Topic == "keyed.op") {
      for (auto Index = Kept; Index < Records.size(); ++Index) {
        auto Record = Records[Index];
        Loop.addTimer(Loop.now() + RewriteDelay, [this, Name = Topic, Record] {
          append(Name, Record.first, Record.second);
        });
      }
    }
    Records.resize(Kept);
    Times.resize(Kept);
  }
  auto Ended = std::vector<std::uint64_t>();
  for (const auto &[Id, Poll] : Polls) {
    Ended.push_back(Id);
  }
  for (auto Id : Ended) {
    answerPoll(Id);
  }
}

void store_stand_in::respond(const connection &Connection,
                             http::exchange_number Exchange,
                             http::response Response) const {
  if (Era > 0) {
    Response.Headers.push_back({"Store-Era", std::to_string(Era)});
  }
  Connection->respond(Exchange, Response, false);
}

auto store_stand_in::pollingNodes() const -> std::set<int> {
  auto Result = std::set<int>();
  for (const auto &[Id, Poll] : Polls) {
    Result.insert(Poll.Node);
  }
  return Result;
}

auto store_stand_in::valuesOf(const std::string &Topic,
                              const std::string &Key) const
    -> std::vector<std::string> {
  auto Values = std::vector<std::string>();
  auto Found = Topics.find(Topic);
  if (Found != Topics.end()) {
    for (const auto &[Name, Value] : Found->second) {
      if (Name == Key) {
        Values.push_back(Value);
      }
    }
  }
  return Values;
}

auto store_stand_in::renderRead(const std::string &Topic,
                                std::size_t From) const -> http::response {
  auto Found = Topics.find(Topic);
  auto End = Found == Topics.end() ? std::size_t{0} : Found->second.size();
  if (From > End) {
    return {410, "", {}, ""};
  }
  auto Response = http::response{200, "", {}, ""};
  appendBigEndian(Response.Body, End, ReadHeaderBytes);
  appendBigEndian(Response.Body, 0, ReadHeaderBytes);
  for (auto Offset = From; Offset < End; ++Offset) {
    const auto &[Key, Value] = Found->second[Offset];
    appendBigEndian(Response.Body, 1 + Key.size() + Value.size(), 4);
    appendBigEndian(Response.Body, Key.size(), 1);
    Response.Body.append(Key).append(Value);
  }
  return Response;
}

auto store_stand_in::renderListing(const std::string &Topic) const
    -> http::response {
  auto Newest = std::map<std::string, std::size_t>();
  auto Items = nlohmann::json::array();
  auto Found = Topics.find(Topic);
  auto End = Found == Topics.end() ? std::size_t{0} : Found->second.size();
  for (auto Offset = std::size_t{0}; Offset < End; ++Offset) {
    Newest[Found->second[Offset].first] = Offset;
  }
  for (const auto &[Key, Offset] : Newest) {
    const auto &Value = Found->second[Offset].second;
    if (!Value.empty()) {
      Items.push_back({{"key", Key},
                       {"value", config::encodeBase64(Value)},
                       {"offset", Offset}});
    }
  }
  return {
      200,
      "",
      {},
      nlohmann::json{{"items", Items}, {"more", false}, {"end", End}}.dump()};
}

void store_stand_in::answerPoll(std::uint64_t Id) {
  auto Found = Polls.find(Id);
  if (Found == Polls.end()) {
    return;
  }
  auto Poll = Found->second;
  Loop.cancelTimer(Poll.Timer);
  Polls.erase(Found);
  if (auto Connection = Poll.Connection.lock()) {
    respond(Connection, Poll.Exchange, renderRead(Poll.Topic, Poll.From));
  }
}

void store_stand_in::receive(int Node, const connection &Connection,
                             http::exchange_number Exchange,
                             const http::request &Request) {
  auto Delay = OnCall ? OnCall(Request.Path, queryParameter(Request, "topic"))
                      : micros(0);
  if (Delay <= micros(0)) {
    return handle(Node, Connection, Exchange, Request);
  }
  Loop.addTimer(Loop.now() + Delay,
                [this, Node, Connection, Exchange, Request] {
                  handle(Node, Connection, Exchange, Request);
                });
}

void store_stand_in::handle(int Node, const connection &Connection,
                            http::exchange_number Exchange,
                            const http::request &Request) {
  ++Calls[Request.Path];
  auto Access = Clients[Node].Access;
  // A connection on which a response was lost returns nothing further.
  if (Access == store_access::Silent) {
    Clients[Node].SilentConnections.insert(Connection);
  }
  if (Clients[Node].SilentConnections.contains(Connection)) {
    return;
  }
  if (Access == store_access::Refused) {
    return respond(Connection, Exchange, {503, "", {}, ""});
  }
  auto Topic = queryParameter(Request, "topic");
  if (Request.Path == "/log-newest") {
    return respond(Connection, Exchange, renderListing(Topic));
  }
  if (Request.Path == "/log-append") {
    auto ExpectedEnd = queryParameter(Request, "at");
    if (!ExpectedEnd.empty() &&
        std::stoull(ExpectedEnd) != Topics[Topic].size()) {
      return respond(
          Connection, Exchange,
          {412, "", {}, nlohmann::json{{"end", Topics[Topic].size()}}.dump()});
    }
    auto KeySize = static_cast<unsigned char>(Request.Body.at(4));
    append(Topic, Request.Body.substr(5, KeySize),
           Request.Body.substr(5U + KeySize));
    if (Access == store_access::Unanswered) {
      Clients[Node].SilentConnections.insert(Connection);
      return;
    }
    auto End = Topics[Topic].size();
    return respond(Connection, Exchange,
                   {200,
                    "",
                    {},
                    nlohmann::json{{"offset", End - 1}, {"end", End}}.dump()});
  }
  auto From = std::stoull(queryParameter(Request, "from"));
  auto Wait = std::stoll(queryParameter(Request, "waitMs"));
  auto Id = NextPoll++;
  auto Timer = Loop.addTimer(Loop.now() + micros(Wait * 1000),
                             [this, Id] { answerPoll(Id); });
  Polls.emplace(Id, poll{Node, Connection, Exchange, Topic, From, Timer});
  if (From != Topics[Topic].size()) {
    answerPoll(Id);
  }
}

} // namespace sycamorelb::sim
