/// \file
/// The check of the promises over a history.

#include "balsamlatch/Replay/History.h"

#include <map>
#include <set>
#include <unordered_map>

namespace balsamlatch::replay {

namespace {

using placement::Outcome;

class Checker {
public:
  explicit Checker(const History &Lines) {
    for (const HistoryLine &Line : Lines) {
      At = Line.At;
      std::visit([this](const auto &What) { take(What); }, Line.What);
    }
    for (const auto &[Id, R] : Requests) {
      if (R.Ends == 0) {
        breach(Promise::OneEnd, Id.Text);
      }
    }
  }

  std::vector<Breach> Found;

private:
  struct RequestRecord {
    Asked What;
    unsigned Ends = 0;
    unsigned Runs = 0;
    bool EndedNotRun = false;
  };

  void breach(Promise Which, const std::string &Subject) {
    Found.push_back({Which, At, Subject});
  }

  void take(const Asked &What) { Requests[What.Id].What = What; }

  void take(const Ordered &What) {
    const auto Since = LeavingSince.find(What.Host);
    if (Since != LeavingSince.end() && At - Since->second > LeavingNotice) {
      breach(Promise::LeavingHost, What.Host.Text);
    }
    if (!What.Started) {
      return;
    }
    RequestRecord &R = Requests[What.Id];
    ++R.Runs;
    if (R.EndedNotRun) {
      breach(Promise::TruthOfNotRun, What.Id.Text);
    }
    if (!R.What.Idempotent && ++RunsOf[R.What.Identity] > 1) {
      breach(Promise::AtMostOnce, R.What.Identity);
    }
  }

  void take(const Ended &What) {
    RequestRecord &R = Requests[What.Id];
    if (++R.Ends > 1 || R.What.Id.empty()) {
      breach(Promise::OneEnd, What.Id.Text);
    }
    if (What.End == Outcome::NotRun) {
      R.EndedNotRun = true;
      if (R.Runs > 0) {
        breach(Promise::TruthOfNotRun, What.Id.Text);
      }
    }
    if (What.End == Outcome::Answered && !ownAnswer(R, What)) {
      breach(Promise::OwnAnswer, What.Id.Text);
    }
  }

  void take(const Leaving &What) {
    if (What.Now) {
      LeavingSince.try_emplace(What.Host, At);
    } else {
      LeavingSince.erase(What.Host);
    }
  }

  bool ownAnswer(const RequestRecord &R, const Ended &What) const {
    const auto Source = Requests.find(What.AnswerOf);
    return What.Whole && Source != Requests.end() && Source->second.Runs > 0 &&
           Source->second.What.Identity == R.What.Identity;
  }

  Instant At{};
  std::map<RequestId, RequestRecord> Requests;
  std::unordered_map<std::string, unsigned> RunsOf;
  std::map<HostName, Instant> LeavingSince;
};

} // namespace

const char *promiseCode(Promise Which) {
  switch (Which) {
  case Promise::AtMostOnce:
    return "at-most-once";
  case Promise::TruthOfNotRun:
    return "truth-of-not-run";
  case Promise::OwnAnswer:
    return "own-answer";
  case Promise::LeavingHost:
    return "leaving-host";
  case Promise::OneEnd:
    return "one-end";
  }
  return "unknown";
}

std::vector<Breach> checkPromises(const History &Lines) {
  return std::move(Checker(Lines).Found);
}

} // namespace balsamlatch::replay
