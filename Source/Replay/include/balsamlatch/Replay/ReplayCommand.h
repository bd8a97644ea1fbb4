/// \file
/// The command `balsamlatch replay`.

#ifndef BALSAMLATCH_REPLAY_REPLAYCOMMAND_H
#define BALSAMLATCH_REPLAY_REPLAYCOMMAND_H

#include <ostream>
#include <string>
#include <vector>

namespace balsamlatch::replay {

/// Runs `replay` with its arguments, the command's own name left out. Returns
/// the exit code: 0; 1 if a promise was broken; 2 for arguments or files that
/// can't be used.
int runReplay(const std::vector<std::string> &Arguments, std::ostream &Out,
              std::ostream &Errors);

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_REPLAYCOMMAND_H
