/// \file
/// The commands that write or propose a rules text: init, propose and rollback.

#ifndef BALSAMLATCH_TOOL_PROPOSECOMMANDS_H
#define BALSAMLATCH_TOOL_PROPOSECOMMANDS_H

#include "Command.h"

namespace balsamlatch {

Command initCommand();
Command proposeCommand();
Command rollbackCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_PROPOSECOMMANDS_H
