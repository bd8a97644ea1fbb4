/// \file
/// One caller's connection to the server, and the set of all of them.

#ifndef BALSAMLATCH_HTTP_CONNECTION_H
#define BALSAMLATCH_HTTP_CONNECTION_H

#include "Stream.h"
#include "balsamlatch/Http/Server.h"

#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace balsamlatch::http {

class Connection;
class ReplySlot;

/// What the connections of one server share. Used on the context's thread,
/// but for Count.
struct ConnectionSet {
  ServerOptions Options;
  Handler OnRequest;
  std::optional<boost::asio::ssl::context> Security;
  bool Stopping = false;
  // Invariant: exactly the connections whose sockets are open.
  std::unordered_set<std::shared_ptr<Connection>> Open;
  /// Size of Open, for other threads.
  std::atomic<std::size_t> Count = 0;
};

/// Reads requests one after the other, hands each to the handler and writes
/// its answer. It goes on reading while the handler works, so that a caller's
/// hang-up is noticed; bytes of a next request wait in the buffer.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using Time = std::chrono::steady_clock::time_point;

  Connection(Stream::Socket Socket, std::shared_ptr<ConnectionSet> Set);

  /// Starts to read requests.
  void start();
  /// Answers 503 without reading and closes.
  void refuse();
  /// Closes the connection if its deadline has passed.
  void sweep(Time Now);
  /// Lets an idle connection close soon.
  void stop();
  void close();

  /// Writes the answer to request \p Number, if it still waits for one.
  void respond(std::uint64_t Number, Response Answer);
  /// Closes the connection if request \p Number still waits for its answer.
  void drop(std::uint64_t Number);

private:
  enum class Phase { Handshake, Idle, Reading, Handling, Writing, Draining };

  struct Outgoing {
    std::string Head;
    std::string Body;
    /// Whether the exchange is over once it is written.
    bool Final = false;
  };

  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void enter(Phase Next, Duration Limit);
  void readMore();
  void onRead(boost::system::error_code Error, std::size_t Bytes);
  void parse();
  void parseSome();
  void sendContinue();
  void onRequest();
  void fail(const boost::system::error_code &Error);
  void send(Outgoing Message);
  void writeNext();
  void onFinalWritten();
  void drain();

  std::shared_ptr<ConnectionSet> Set;
  Stream Channel;
  std::string Peer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Current;
  Phase State = Phase::Handshake;
  Time Deadline;
  bool Closed = false;
  // Invariant: at most one read and one write are in progress.
  bool ReadInProgress = false;
  bool WriteInProgress = false;
  bool ContinueSent = false;
  bool KeepAlive = true;
  bool HeadOnly = false;
  /// Counts requests; the one being handled has this number.
  std::uint64_t RequestNumber = 0;
  std::weak_ptr<ReplySlot> Slot;
  Abandoned OnAbandoned;
  std::deque<Outgoing> Queue;
};

} // namespace balsamlatch::http

#endif // BALSAMLATCH_HTTP_CONNECTION_H
