/// \file
/// The command `replay`: runs a recorded trace through the placement engine.

#ifndef BALSAMLATCH_TOOL_REPLAYCOMMAND_H
#define BALSAMLATCH_TOOL_REPLAYCOMMAND_H

#include "Command.h"

namespace balsamlatch {

Command replayCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_REPLAYCOMMAND_H
