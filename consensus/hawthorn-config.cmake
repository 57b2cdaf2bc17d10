# Finds what the coordination library links to, then the library itself.
include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(Protobuf)
find_dependency(Boost 1.74)
include("${CMAKE_CURRENT_LIST_DIR}/hawthorn-coordination-targets.cmake")
