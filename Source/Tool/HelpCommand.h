/// \file
/// The command `help`: lists commands and rules, and shows a rule's form.

#ifndef BALSAMLATCH_TOOL_HELPCOMMAND_H
#define BALSAMLATCH_TOOL_HELPCOMMAND_H

#include "Command.h"

namespace balsamlatch {

Command helpCommand();

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_HELPCOMMAND_H
