/// \file
/// Reads what the workers' processes printed.

#ifndef BALSAMLATCH_TESTS_SOAK_WORKERLINES_H
#define BALSAMLATCH_TESTS_SOAK_WORKERLINES_H

#include "Checker.h"

#include <istream>

namespace balsamlatch::soak {

/// Adds the runs of one process. \p Killed is when it was killed: its runs are
/// over then. A last line without its end is left out. Returns the number of
/// lines that can't be read.
unsigned readWorkerLines(std::istream &Lines, unsigned Life, Stamp Killed,
                         std::vector<RunRecord> &Runs);

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_WORKERLINES_H
