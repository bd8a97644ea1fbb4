/// \file
/// What is known of the placement policies' decisions.

#include "balsamlatch/Dispatch/Permits.h"

namespace balsamlatch::dispatch {

const std::string *PermitBook::find(const StepRef &Step,
                                    const WorkerLife &Worker,
                                    Instant Until) const {
  const auto Known = Steps.find(Step);
  if (Known == Steps.end()) {
    return nullptr;
  }
  const auto Found = Known->second.find(Worker.Id);
  const bool Good =
      Found != Known->second.end() && !Found->second.Ticket.empty() &&
      Found->second.Born == Worker.Born && Until < Found->second.ValidUntil;
  return Good ? &Found->second.Ticket : nullptr;
}

bool PermitBook::worthAsking(const StepRef &Step, const WorkerLife &Worker,
                             Instant Until) const {
  const auto Known = Steps.find(Step);
  if (Known == Steps.end()) {
    return true;
  }
  const auto Found = Known->second.find(Worker.Id);
  return Found == Known->second.end() || (!Found->second.Ticket.empty() &&
                                          find(Step, Worker, Until) == nullptr);
}

void PermitBook::answered(const PermitQuery &Query, const PermitReply &Reply,
                          Instant AskedAt) {
  Decisions &Known = Steps[Query.Step];
  for (const WorkerLife &Worker : Query.Workers) {
    Known[Worker.Id] = {Worker.Born, "", {}};
  }
  for (const Permit &Each : Reply.Allowed) {
    const auto Found = Known.find(Each.WorkerId);
    if (Found != Known.end()) {
      Found->second.Ticket = Each.Ticket;
      Found->second.ValidUntil = AskedAt + Reply.Validity;
    }
  }
}

void PermitBook::drop(const StepRef &Step, const std::string &WorkerId) {
  const auto Known = Steps.find(Step);
  if (Known != Steps.end()) {
    Known->second.erase(WorkerId);
  }
}

void PermitBook::forget(const JobId &Job) {
  auto It = Steps.lower_bound({Job, 0, 0});
  while (It != Steps.end() && It->first.Job == Job) {
    It = Steps.erase(It);
  }
}

} // namespace balsamlatch::dispatch
