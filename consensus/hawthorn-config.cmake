# Finds the dependencies of the coordination library, then its targets.
include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(Protobuf)
find_dependency(Boost 1.74)
include("${CMAKE_CURRENT_LIST_DIR}/hawthorn-coordination-targets.cmake")
