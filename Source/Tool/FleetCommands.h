/// \file
/// The commands that send owners' orders to the fleet (drain, return, move,
/// halt and resume) and the command `plan`.

#ifndef BALSAMLATCH_TOOL_FLEETCOMMANDS_H
#define BALSAMLATCH_TOOL_FLEETCOMMANDS_H

#include "Command.h"

namespace balsamlatch {

Command drainCommand();
Command returnCommand();
Command moveCommand();
Command haltCommand();
Command resumeCommand();
Command planCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_FLEETCOMMANDS_H
