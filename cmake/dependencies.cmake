# Third-party libraries, all from Debian packages. Each is an interface target
# so that modules name only what they use.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
# CBOR of the digests between instances.
find_package(nlohmann_json REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json url)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(GFLAGS REQUIRED IMPORTED_TARGET gflags)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
if(GERANIUM_EDGE_ONLY)
  return()
endif()
find_package(Boost 1.81 REQUIRED COMPONENTS json unit_test_framework url)
pkg_check_modules(JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(LUA REQUIRED IMPORTED_TARGET lua5.4)

add_library(gs_third_party_jsonrpc INTERFACE)
target_link_libraries(gs_third_party_jsonrpc INTERFACE jsonrpccpp-client jsonrpccpp-server
                                                       jsonrpccpp-common PkgConfig::JSONCPP)

add_library(gs_third_party_csv INTERFACE)
target_link_libraries(gs_third_party_csv INTERFACE csv)
