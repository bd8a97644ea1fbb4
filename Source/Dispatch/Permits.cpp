/// \file
/// The cache of decisions by the placement policies.

#include "balsamlatch/Dispatch/Permits.h"

namespace balsamlatch::dispatch {

const std::string *PermitCache::findTicket(const StepRef &Step,
                                           const WorkerInstance &Worker,
                                           Instant Until) const {
  const auto StepIt = DecisionsByStep.find(Step);
  if (StepIt == DecisionsByStep.end()) {
    return nullptr;
  }
  const auto DecisionIt = StepIt->second.find(Worker.Id);
  const bool IsValid = DecisionIt != StepIt->second.end() &&
                       !DecisionIt->second.Ticket.empty() &&
                       DecisionIt->second.Incarnation == Worker.Incarnation &&
                       Until < DecisionIt->second.ValidUntil;
  return IsValid ? &DecisionIt->second.Ticket : nullptr;
}

bool PermitCache::needsQuery(const StepRef &Step, const WorkerInstance &Worker,
                             Instant Until) const {
  const auto StepIt = DecisionsByStep.find(Step);
  if (StepIt == DecisionsByStep.end()) {
    return true;
  }
  const auto DecisionIt = StepIt->second.find(Worker.Id);
  return DecisionIt == StepIt->second.end() ||
         (!DecisionIt->second.Ticket.empty() &&
          findTicket(Step, Worker, Until) == nullptr);
}

void PermitCache::store(const PermitQuery &Query, const PermitReply &Reply,
                        Instant AskedAt) {
  Decisions &StepDecisions = DecisionsByStep[Query.Step];
  for (const WorkerInstance &Worker : Query.Workers) {
    StepDecisions[Worker.Id] = {Worker.Incarnation, "", {}};
  }
  for (const Permit &GrantedPermit : Reply.Allowed) {
    const auto DecisionIt = StepDecisions.find(GrantedPermit.WorkerId);
    if (DecisionIt != StepDecisions.end()) {
      DecisionIt->second.Ticket = GrantedPermit.Ticket;
      DecisionIt->second.ValidUntil = AskedAt + Reply.Validity;
    }
  }
}

void PermitCache::remove(const StepRef &Step, const std::string &WorkerId) {
  const auto StepIt = DecisionsByStep.find(Step);
  if (StepIt != DecisionsByStep.end()) {
    StepIt->second.erase(WorkerId);
  }
}

void PermitCache::removeJob(const JobId &Job) {
  auto StepIt = DecisionsByStep.lower_bound({Job, 0, 0});
  while (StepIt != DecisionsByStep.end() && StepIt->first.Job == Job) {
    StepIt = DecisionsByStep.erase(StepIt);
  }
}

} // namespace balsamlatch::dispatch
