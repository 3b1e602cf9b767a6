# Build rules shared by all parts: warnings, sanitizers, one library and one test program per folder.
find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_package(restinio CONFIG REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(absl CONFIG REQUIRED)
find_package(Boost REQUIRED COMPONENTS log log_setup)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
if(NOT POPLARSTILE_PROGRAMS_ONLY)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
  find_package(benchmark REQUIRED)
endif()
find_package(PkgConfig REQUIRED)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)

add_library(poplarstile_options INTERFACE)
target_compile_options(poplarstile_options INTERFACE -Wall -Wextra -Wpedantic -Wconversion -Wshadow)
target_compile_definitions(poplarstile_options INTERFACE BOOST_LOG_DYN_LINK BOOST_ALL_DYN_LINK)
target_include_directories(poplarstile_options INTERFACE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
target_link_libraries(poplarstile_options INTERFACE Threads::Threads)
if(POPLARSTILE_SANITIZE)
  list(JOIN POPLARSTILE_SANITIZE "," sanitizers)
  target_compile_options(poplarstile_options INTERFACE -fsanitize=${sanitizers} -fno-omit-frame-pointer)
  target_link_options(poplarstile_options INTERFACE -fsanitize=${sanitizers})
endif()

add_custom_target(sanitized_tests)

if(POPLARSTILE_FUZZ)
  # Coverage everywhere; each fuzz target links the driver.
  target_compile_options(poplarstile_options INTERFACE -fsanitize=fuzzer-no-link,address -fno-omit-frame-pointer)
  target_link_options(poplarstile_options INTERFACE -fsanitize=address)
endif()

# poplarstile_library(NAME LINK targets...): src/NAME/*.cpp as poplarstile::NAME,
# and tests/NAME/*_test.cpp as its test program NAME_test.
function(poplarstile_library name)
  poplarstile_library_in(${CMAKE_SOURCE_DIR}/src/${name} ${name} ${ARGN})
endfunction()

# poplarstile_library_in(DIR NAME LINK targets...): the same for sources in another folder.
function(poplarstile_library_in dir name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${dir}/*.cpp)
  if(sources)
    add_library(poplarstile_${name} STATIC ${sources})
    target_link_libraries(poplarstile_${name} PUBLIC poplarstile_options ${ARG_LINK})
  else()
    add_library(poplarstile_${name} INTERFACE)
    target_link_libraries(poplarstile_${name} INTERFACE poplarstile_options ${ARG_LINK})
  endif()
  add_library(poplarstile::${name} ALIAS poplarstile_${name})
  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*_test.cpp)
  if(tests AND NOT POPLARSTILE_PROGRAMS_ONLY)
    poplarstile_test(${name}_test SOURCES ${tests} LINK poplarstile::${name})
    # What scripts/sanitize.sh builds and runs.
    set_tests_properties(${name}_test PROPERTIES LABELS sanitized)
    add_dependencies(sanitized_tests ${name}_test)
  endif()
endfunction()

# poplarstile_test(NAME SOURCES ... LINK ...): one GoogleTest program, one CTest entry.
function(poplarstile_test name)
  if(POPLARSTILE_PROGRAMS_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/tests)
  target_compile_definitions(${name} PRIVATE POPLARSTILE_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                                             POPLARSTILE_BINARY_DIR="${CMAKE_BINARY_DIR}")
  target_link_libraries(${name} PRIVATE poplarstile_options ${ARG_LINK} GTest::gtest GTest::gmock
                                        GTest::gtest_main rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 240)
endfunction()

# poplarstile_program(NAME SOURCES ... LINK ...): an executable in build/bin.
function(poplarstile_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE poplarstile_options ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# poplarstile_folders(DIR...): each sub-folder with a CMakeLists.txt is a program.
function(poplarstile_folders)
  foreach(dir ${ARGN})
    file(GLOB entries CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${dir}/*/CMakeLists.txt)
    foreach(entry ${entries})
      get_filename_component(folder ${entry} DIRECTORY)
      add_subdirectory(${folder})
    endforeach()
  endforeach()
endfunction()
