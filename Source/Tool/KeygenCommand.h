/// \file
/// The command `keygen`: generates a co-owner's key.

#ifndef BALSAMLATCH_TOOL_KEYGENCOMMAND_H
#define BALSAMLATCH_TOOL_KEYGENCOMMAND_H

#include "Command.h"

namespace balsamlatch {

Command keygenCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_KEYGENCOMMAND_H
