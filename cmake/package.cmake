# borageloft_library(<name> [DEPENDS <library>...] [LINK <target>...])
# Declares the package libraries/<name> from every source file in its folder.
function(borageloft_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  list(TRANSFORM ARG_DEPENDS PREPEND borageloft_)
  add_library(borageloft_${name} STATIC ${sources})
  target_include_directories(borageloft_${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(borageloft_${name} PUBLIC ${ARG_DEPENDS} ${ARG_LINK} Threads::Threads)
endfunction()

# borageloft_test(<name> [DEPENDS <library>...] [LINK <target>...] [LABELS <label>...]
#                 [SUPPORT <file>...])
# Declares the test program for libraries/<name> from every source file in its folder except fuzz
# targets, and from the named files of tests/support.
# The label "concurrent" makes the ThreadSanitizer run include it.
function(borageloft_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK;LABELS;SUPPORT" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  list(FILTER sources EXCLUDE REGEX "_fuzz\\.cc$")
  list(TRANSFORM ARG_SUPPORT PREPEND ${PROJECT_SOURCE_DIR}/tests/support/)
  list(APPEND sources ${ARG_SUPPORT})
  list(TRANSFORM ARG_DEPENDS PREPEND borageloft_)
  add_executable(${name}_test ${sources})
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPENDS} ${ARG_LINK} GTest::gmock GTest::gtest GTest::gtest_main)
  # One label only: gtest_discover_tests passes no list on as a property.
  set(label unit)
  if(ARG_LABELS)
    set(label ${ARG_LABELS})
  endif()
  include(GoogleTest)
  # The timeout only ends a test that hangs. The longest one takes 29 s of processor time under
  # AddressSanitizer, and a machine may share each core between several other processes.
  gtest_discover_tests(${name}_test TEST_PREFIX ${name}. DISCOVERY_TIMEOUT 60
    PROPERTIES TIMEOUT 400 LABELS ${label})
endfunction()

# borageloft_fuzz(<name> <source> [DEPENDS <library>...])
# Declares a libFuzzer target; it is built only with BORAGELOFT_FUZZ and clang.
function(borageloft_fuzz name source)
  if(BORAGELOFT_FUZZ)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    list(TRANSFORM ARG_DEPENDS PREPEND borageloft_)
    add_executable(${name}_fuzz ${source})
    target_compile_options(${name}_fuzz PRIVATE -fsanitize=fuzzer,address)
    target_link_options(${name}_fuzz PRIVATE -fsanitize=fuzzer,address)
    target_link_libraries(${name}_fuzz PRIVATE ${ARG_DEPENDS})
  endif()
endfunction()
