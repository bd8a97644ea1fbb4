/// \file
/// The commands that sign or close a proposal: sign, reject and withdraw.

#ifndef BALSAMLATCH_TOOL_SIGNCOMMANDS_H
#define BALSAMLATCH_TOOL_SIGNCOMMANDS_H

#include "Command.h"

namespace balsamlatch {

Command signCommand();
Command rejectCommand();
Command withdrawCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_SIGNCOMMANDS_H
