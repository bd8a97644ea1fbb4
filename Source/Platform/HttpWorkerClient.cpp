/// \file
/// Tasks, cancels and reports as HTTP calls.

#include "balsamlatch/Platform/HttpWorkerClient.h"

#include "Statuses.h"
#include "balsamlatch/Platform/PlatformCodec.h"

namespace balsamlatch {

namespace {

bool isWhole(const http::Response &Answer) {
  return Answer.header(LengthField) == std::to_string(Answer.Body.size()) &&
         Answer.header(DigestField) == bodyDigest(Answer.Body);
}

} // namespace

TaskResult taskResult(const std::string &Task, http::Outcome Outcome) {
  http::Response &Answer = Outcome.Answer;
  if (absl::IsUnavailable(Outcome.Status)) {
    return {TaskEnd::NotSent, std::string(Outcome.Status.message())};
  }
  if (!Outcome.Status.ok()) {
    return {TaskEnd::Lost, std::string(Outcome.Status.message())};
  }
  if (Answer.header(TaskField) != Task) {
    return {TaskEnd::Lost, "the answer names another task"};
  }
  if (!isWhole(Answer)) {
    return {TaskEnd::Lost, "the answer isn't whole"};
  }
  const std::string_view Said = Answer.header(OutcomeField);
  if (Said == AnsweredOutcome) {
    return {TaskEnd::Answered, std::move(Answer.Body)};
  }
  if (Said == RefusedOutcome) {
    return {TaskEnd::Refused, std::move(Answer.Body)};
  }
  if (Said == FailedOutcome) {
    return {TaskEnd::Failed, std::move(Answer.Body)};
  }
  return {TaskEnd::Lost, "the answer names no outcome"};
}

HttpWorkerClient::HttpWorkerClient(http::Client &Caller, Options Wanted)
    : Client(Caller), Settings(Wanted) {}

void HttpWorkerClient::run(const Address &Worker, TaskOrder Order,
                           Duration Timeout, TaskCallback Done) {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = TasksPath;
  Message.Headers.emplace(TaskField, Order.Task);
  Message.Headers.emplace(JobField, Order.Job.Text);
  Message.Headers.emplace(LeaseField, std::to_string(Order.Lease.count()));
  Message.Body = std::move(Order.Body);
  Client.call(Worker.Ip, Worker.Port, std::move(Message), Timeout,
              [Task = std::move(Order.Task),
               Done = std::move(Done)](http::Outcome Outcome) {
                Done(taskResult(Task, std::move(Outcome)));
              });
}

void HttpWorkerClient::cancel(const Address &Worker, const std::string &Task,
                              CancelCallback Done) {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = CancelPath;
  Message.Headers.emplace(TaskField, Task);
  Client.call(Worker.Ip, Worker.Port, std::move(Message), Settings.Timeout,
              [Task, Done = std::move(Done)](const http::Outcome &Outcome) {
                absl::Status Effect = effectOf(Outcome);
                if (Effect.ok() && (Outcome.Answer.Status != HttpOk ||
                                    Outcome.Answer.header(TaskField) != Task)) {
                  Effect = strangeAnswer(Outcome.Answer);
                }
                Done(std::move(Effect));
              });
}

void HttpWorkerClient::report(const Address &Worker, ReportCallback Done) {
  Client.call(Worker.Ip, Worker.Port,
              {"GET", std::string(ReportPath), {}, "", ""}, Settings.Timeout,
              [Done = std::move(Done)](const http::Outcome &Outcome) {
                if (absl::Status Effect = effectOf(Outcome); !Effect.ok()) {
                  Done(std::move(Effect));
                } else if (Outcome.Answer.Status != HttpOk) {
                  Done(strangeAnswer(Outcome.Answer));
                } else {
                  Done(decodeReport(Outcome.Answer.Body));
                }
              });
}

} // namespace balsamlatch
