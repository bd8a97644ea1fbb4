/// \file
/// Tries of a request until its deadline.

#include "balsamlatch/Control/JobRouter.h"

#include "balsamlatch/Control/JobWire.h"

namespace balsamlatch::control {

namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(25);
/// A holder that hasn't answered by then may be frozen or cut off; the request
/// is sent again, perhaps to the next one.
constexpr Duration TryTimeout = std::chrono::milliseconds(700);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

} // namespace

struct JobRouter::Try {
  JobRequest What;
  RequestTimes Times;
  JobService::Answer Done;
  /// A try went out and wasn't answered.
  bool MayBeDone = false;

  Instant end() const { return MayBeDone ? Times.Deadline : Times.Patience; }
};

JobRouter::JobRouter(EventLoop &Runner, const Clock &TimeSource, LogSink &Sink,
                     Holder &Here, http::Client &Peers)
    : Loop(Runner), Time(TimeSource), Log(Sink), Local(Here), Remote(Peers),
      Finder(Runner, TimeSource, Here, Peers) {}

void JobRouter::request(JobRequest What, RequestTimes Times,
                        JobService::Answer Done) {
  attempt(std::make_shared<Try>(
      Try{std::move(What), Times, std::move(Done), false}));
}

void JobRouter::start() { Finder.start(); }

bool JobRouter::failingFor(Duration Length) const {
  return FailingSince && Time.now() - *FailingSince >= Length;
}

void JobRouter::probe() {
  if (std::exchange(Probing, true)) {
    return;
  }
  Finder.look();
  const Instant End = Time.now() + ProbeTimeout;
  request(AskQueue{}, {End, End},
          [this](const JobReply &) { Probing = false; });
}

void JobRouter::attempt(const std::shared_ptr<Try> &What) {
  if (Local.leading()) {
    Local.request(What->What, [this, What](const JobReply &Reply) {
      answered(What, Reply);
    });
    return;
  }
  const std::optional<EntryRecord> Known = Local.known();
  if (!Known) {
    Finder.look();
    answered(What, {JobReply::NotHolder});
    return;
  }
  const Duration Left =
      std::min<Duration>(TryTimeout, What->end() - Time.now());
  Remote.call(Known->Ip, Known->Port, encodeRequest(What->What), Left,
              [this, What](const http::Outcome &Came) {
                if (Came.Status.ok()) {
                  answered(What, decodeReply(Came.Answer));
                  return;
                }
                Finder.look();
                answered(What, {absl::IsUnavailable(Came.Status)
                                    ? JobReply::NotHolder
                                    : JobReply::Unknown});
              });
}

void JobRouter::answered(const std::shared_ptr<Try> &What,
                         const JobReply &Reply) {
  const bool Settled = Reply.Outcome != JobReply::Unknown &&
                       Reply.Outcome != JobReply::NotHolder;
  if (Settled) {
    FailingSince.reset();
    What->Done(Reply);
    return;
  }
  What->MayBeDone = What->MayBeDone || Reply.Outcome == JobReply::Unknown;
  if (Time.now() + RetryPause >= What->end()) {
    if (!FailingSince) {
      FailingSince = Time.now();
      Log.write(LogLevel::Warning, "holder-lost",
                {{"known", Local.known() ? Local.known()->Entry : ""}});
    }
    What->Done({What->MayBeDone ? JobReply::Unknown : JobReply::NotHolder});
    return;
  }
  Loop.after(RetryPause, [this, What] { attempt(What); });
}

} // namespace balsamlatch::control
