# Functions that declare the project's targets with common compiler flags and clang-tidy settings.

add_library(linnetlane_flags INTERFACE)
target_include_directories(linnetlane_flags INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_options(linnetlane_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
# GCC 12 reports false positives of these two warnings for Asio's recycling allocator in optimised
# builds.
target_compile_options(linnetlane_flags INTERFACE -Wno-maybe-uninitialized -Wno-restrict)

# Runs clang-tidy on the sources of `target` if LINNETLANE_LINT is on.
function(linnetlane_lint target)
    if(LINNETLANE_LINT)
        set_target_properties(${target} PROPERTIES CXX_CLANG_TIDY
            "clang-tidy;--quiet;--extra-arg=-Wno-unknown-warning-option")
    endif()
endfunction()

# linnetlane_library(NAME SOURCES a.cpp ... DEPS target ...)
# Declares a library `linnetlane_NAME`; without SOURCES it is header-only.
function(linnetlane_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    if(ARG_SOURCES)
        add_library(linnetlane_${name} STATIC ${ARG_SOURCES})
        target_link_libraries(linnetlane_${name} PUBLIC linnetlane_flags ${ARG_DEPS})
        linnetlane_lint(linnetlane_${name})
    else()
        add_library(linnetlane_${name} INTERFACE)
        target_link_libraries(linnetlane_${name} INTERFACE linnetlane_flags ${ARG_DEPS})
    endif()
endfunction()

# linnetlane_binary(NAME SOURCES a.cpp ... DEPS target ...)
# Declares an executable in bin/ of the build directory.
function(linnetlane_binary name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE linnetlane_flags ${ARG_DEPS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    linnetlane_lint(${name})
endfunction()

# linnetlane_test(NAME SOURCES a_test.cpp ... DEPS target ...)
# Declares a Boost.Test program and registers it with ctest. RapidCheck's seed is fixed, so that
# runs are reproducible.
function(linnetlane_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${name})
    target_link_libraries(${name} PRIVATE linnetlane_flags ${ARG_DEPS}
        Boost::unit_test_framework rapidcheck)
    linnetlane_lint(${name})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 240)
endfunction()

# linnetlane_benchmark(NAME SOURCES a_benchmark.cpp ... DEPS target ...)
# Declares a Google Benchmark program in bin/ of the build directory.
function(linnetlane_benchmark name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE linnetlane_flags ${ARG_DEPS} benchmark::benchmark)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    linnetlane_lint(${name})
endfunction()
