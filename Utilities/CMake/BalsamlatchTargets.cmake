# Helpers that give every target of the workspace the same settings.

# Compile settings shared by libraries, programs and tests.
add_library(balsamlatch_settings INTERFACE)
target_compile_options(balsamlatch_settings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
  # Members that an aggregate leaves out have default initializers.
  -Wno-missing-field-initializers
  # False reports of g++ 12 on inlined std::string and std::variant code; the
  # linter and the sanitizers look for these faults instead.
  -Wno-restrict -Wno-maybe-uninitialized
  # Scores of placements are the same on each kind of processor.
  -ffp-contract=off)
if(BALSAMLATCH_WERROR)
  target_compile_options(balsamlatch_settings INTERFACE -Werror)
endif()
if(BALSAMLATCH_SANITIZER)
  target_compile_options(balsamlatch_settings INTERFACE
    -fsanitize=${BALSAMLATCH_SANITIZER} -fno-omit-frame-pointer -g1)
  target_link_options(balsamlatch_settings INTERFACE
    -fsanitize=${BALSAMLATCH_SANITIZER})
endif()

# balsamlatch_add_package(<name> SOURCES <file>... [LINKS <target>...])
#
# Adds the library balsamlatch::<name> of a package below Source/, with its
# public headers in include/.
function(balsamlatch_add_package name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "SOURCES;LINKS")
  if(arg_SOURCES)
    add_library(balsamlatch_${name} STATIC ${arg_SOURCES})
    target_include_directories(balsamlatch_${name} PUBLIC include)
    target_link_libraries(balsamlatch_${name} PUBLIC ${arg_LINKS}
      PRIVATE balsamlatch_settings)
  else()
    add_library(balsamlatch_${name} INTERFACE)
    target_include_directories(balsamlatch_${name} INTERFACE include)
    target_link_libraries(balsamlatch_${name} INTERFACE ${arg_LINKS})
  endif()
  add_library(balsamlatch::${name} ALIAS balsamlatch_${name})
endfunction()

# balsamlatch_add_test(<name> SOURCES <file>... [LINKS <target>...] [LABELS <label>...])
#
# Adds a Boost.Test program that CTest runs. The label picks the area.
function(balsamlatch_add_test name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "SOURCES;LINKS;LABELS")
  add_executable(Test${name} ${arg_SOURCES})
  target_compile_definitions(Test${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(Test${name} PRIVATE ${arg_LINKS} Boost::unit_test_framework
    balsamlatch_settings)
  add_test(NAME ${name} COMMAND Test${name})
  set_tests_properties(${name} PROPERTIES LABELS "${arg_LABELS}" TIMEOUT 1200)
endfunction()
