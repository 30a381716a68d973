# Flags that every target of this project shares; dependencies stay outside them.
add_library(gs_compile_options INTERFACE)
target_compile_options(gs_compile_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wshadow
                                                    -Wnon-virtual-dtor -Wno-psabi
                                                    -Wno-missing-field-initializers
                                                    -Wno-mismatched-new-delete)
target_compile_definitions(
  gs_compile_options INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE
                               BOOST_BEAST_USE_STD_STRING_VIEW)
if(GERANIUM_SANITIZE)
  target_compile_options(gs_compile_options INTERFACE -fsanitize=address,undefined)
  target_link_options(gs_compile_options INTERFACE -fsanitize=address,undefined)
endif()

# gs_add_module(<name> SOURCES <files...> DEPS <targets...>)
# Declares the library gs_<name> of the module in the current folder.
function(gs_add_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(gs_${name} STATIC ${ARG_SOURCES})
  target_include_directories(gs_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(gs_${name} PUBLIC ${ARG_DEPS} PRIVATE gs_compile_options)
endfunction()

# gs_add_test(<name> SOURCES <files...> DEPS <targets...>)
# Declares one Boost.Test executable and registers it with CTest.
function(gs_add_test name)
  if(GERANIUM_EDGE_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
                                             BOOST_TEST_MODULE=${name})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} gs_compile_options
                                        Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name} --log_level=error)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# gs_add_program(<name> SOURCES <files...> DEPS <targets...>)
function(gs_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} gs_compile_options)
endfunction()
