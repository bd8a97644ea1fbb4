/// \file
/// Workers and placement policies that never reply, for tests in which no job
/// needs to run.

#ifndef BALSAMLATCH_TESTS_CONTROL_UNRESPONSIVEPORTS_H
#define BALSAMLATCH_TESTS_CONTROL_UNRESPONSIVEPORTS_H

#include "balsamlatch/Control/Ports.h"

namespace balsamlatch::control::test {

class UnresponsiveWorkers final : public WorkerPort {
public:
  void renew(const dispatch::RenewOrder &, RenewCallback) override {}
  void start(const dispatch::StartOrder &, ReplyCallback) override {}
  void stop(const dispatch::StopOrder &, ReplyCallback) override {}
  void pace(const dispatch::PaceOrder &, ReplyCallback) override {}
};

class UnresponsivePolicies final : public PolicyPort {
public:
  void ask(const dispatch::PermitQuery &, ReplyCallback) override {}
};

} // namespace balsamlatch::control::test

#endif // BALSAMLATCH_TESTS_CONTROL_UNRESPONSIVEPORTS_H
