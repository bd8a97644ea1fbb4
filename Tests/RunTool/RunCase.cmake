# Runs the tool on one test case and compares its output:
#
#   cmake -DTOOL=<balsamlatch> -DCASE=<folder> -P RunCase.cmake
#
# The folder holds `arguments` (one argument per line), the input files that the
# arguments name, and optionally the expected exit code in `exit` (default 0)
# and the expected output in `stdout` and `stderr` (default empty). The tool runs
# in a copy of the folder. Afterwards each file in `expected/` must exist in the
# copy with the same content.

get_filename_component(name "${CASE}" NAME)
set(work "${WORK}/${name}")
file(REMOVE_RECURSE "${work}")
file(COPY "${CASE}/" DESTINATION "${work}")

function(read_or variable file default)
  if(EXISTS "${CASE}/${file}")
    file(READ "${CASE}/${file}" text)
    set(${variable} "${text}" PARENT_SCOPE)
  else()
    set(${variable} "${default}" PARENT_SCOPE)
  endif()
endfunction()

file(STRINGS "${CASE}/arguments" arguments)
read_or(exit exit "0")
string(STRIP "${exit}" exit)
read_or(stdout stdout "")
read_or(stderr stderr "")

execute_process(COMMAND "${TOOL}" ${arguments}
  WORKING_DIRECTORY "${work}"
  RESULT_VARIABLE actual_exit
  OUTPUT_VARIABLE actual_stdout
  ERROR_VARIABLE actual_stderr)

foreach(part IN ITEMS exit stdout stderr)
  if(NOT "${actual_${part}}" STREQUAL "${${part}}")
    message(SEND_ERROR "${name}: ${part} is\n${actual_${part}}\ninstead of\n${${part}}")
  endif()
endforeach()
file(GLOB expected RELATIVE "${CASE}/expected" "${CASE}/expected/*")
foreach(file IN LISTS expected)
  file(READ "${CASE}/expected/${file}" wanted)
  file(READ "${work}/${file}" actual)
  if(NOT "${actual}" STREQUAL "${wanted}")
    message(SEND_ERROR "${name}: ${file} is\n${actual}\ninstead of\n${wanted}")
  endif()
endforeach()
