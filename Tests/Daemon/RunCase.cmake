# Runs a program in a case's folder and compares what it prints and how it ends
# with the files there: arguments, stdout, stderr and exit-code. Usage:
#   cmake -DPROGRAM=... -DCASE=... -P RunCase.cmake
# With -DACCEPT=ON the files are written instead; read them before you commit.

file(STRINGS "${CASE}/arguments" arguments)
execute_process(COMMAND "${PROGRAM}" ${arguments}
  WORKING_DIRECTORY "${CASE}"
  RESULT_VARIABLE result_exit-code
  OUTPUT_VARIABLE result_stdout
  ERROR_VARIABLE result_stderr)

foreach(part IN ITEMS exit-code stdout stderr)
  string(STRIP "${result_${part}}" actual)
  if(ACCEPT)
    file(WRITE "${CASE}/${part}" "${actual}\n")
  endif()
  file(READ "${CASE}/${part}" expected)
  string(STRIP "${expected}" expected)
  if(NOT actual STREQUAL expected)
    message(SEND_ERROR "${part} differs\n--- expected\n${expected}\n--- actual\n${actual}")
  endif()
endforeach()
