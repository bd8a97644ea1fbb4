/// \file
/// Brings the planned faults about on a cluster, and ends them.

#ifndef BALSAMLATCH_TESTS_HISTORIES_INJECTOR_H
#define BALSAMLATCH_TESTS_HISTORIES_INJECTOR_H

#include "Cluster.h"
#include "FaultPlan.h"
#include "History.h"
#include "Load.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace balsamlatch::histories {

class Injector {
public:
  Injector(Cluster &Target, std::deque<Route> &Routes, const Clock &TimeSource);

  /// Carries the faults out at their times after \p LoadStart; returns when
  /// all have ended.
  void run(const std::vector<Fault> &Plan, Instant LoadStart);

  const std::vector<Kill> &kills() const { return Kills; }
  /// What went wrong with a planned stop, one line each.
  const std::vector<std::string> &problems() const { return Problems; }

private:
  void begin(const Fault &What);
  void finish(const Fault &What);
  Entry &entryOf(const Fault &What);
  void kill(Entry &One);
  void stopGracefully(Entry &One);
  void restart(Entry &One);
  void setWorker(const Fault &What, std::string_view Mode);
  void setStore(const std::string &Faults);

  Cluster &Target;
  std::deque<Route> &Routes;
  const Clock &TimeSource;
  const std::vector<std::string> Workers;
  // Entries that are killed or stopping, until they are started again.
  std::set<std::string> Down;
  std::vector<Kill> Kills;
  std::vector<std::string> Problems;
};

} // namespace balsamlatch::histories

#endif // BALSAMLATCH_TESTS_HISTORIES_INJECTOR_H
