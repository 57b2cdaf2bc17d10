# Build functions that all subsystems use.

# hawthorn_add_module(NAME SOURCES a.cpp ... DEPS lib ...)
# Defines the static library hawthorn_NAME; headers are included as
# "NAME/header.h".
function(hawthorn_add_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(hawthorn_${name} STATIC ${ARG_SOURCES})
  target_include_directories(
    hawthorn_${name} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
                            $<INSTALL_INTERFACE:include/hawthorn>)
  target_compile_options(hawthorn_${name} PRIVATE -Wall -Wextra -Werror)
  target_link_libraries(hawthorn_${name} PUBLIC ${ARG_DEPS} Threads::Threads)
endfunction()

# hawthorn_add_test(NAME SOURCES a_test.cpp ... DEPS lib ...)
# Builds a Catch2 executable and registers each of its test cases with CTest.
function(hawthorn_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR})
  target_compile_options(${name}_test PRIVATE -Wall -Wextra -Werror)
  target_link_libraries(${name}_test PRIVATE hawthorn_test_main ${ARG_DEPS})
  catch_discover_tests(${name}_test TEST_PREFIX "${name}: "
                       PROPERTIES TIMEOUT 300)
endfunction()
