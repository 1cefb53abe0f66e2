add_library(kc_options INTERFACE)
target_compile_options(kc_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers)
if(KC_SANITIZE)
    # Without optimisation the seeded simulations take more than five minutes.
    target_compile_options(kc_options INTERFACE -fsanitize=${KC_SANITIZE} -fno-omit-frame-pointer -O1)
    target_link_options(kc_options INTERFACE -fsanitize=${KC_SANITIZE})
    # asio's headers contain atomic fences, which the thread sanitizer does not model and gcc reports as an error.
    if(KC_SANITIZE MATCHES thread)
        target_compile_options(kc_options INTERFACE -Wno-tsan)
    endif()
endif()

# Catch2's main is compiled once for all test programs.
add_library(kc_catch_main STATIC ${CMAKE_SOURCE_DIR}/tests/support/CatchMain.cpp)

# kc_package(NAME DEPENDS ...): a library of libs/NAME with its tests and benchmarks.
# tests/*.cpp become the program NAME_tests, benchmark/*.cpp the program NAME_benchmark.
function(kc_package NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
    file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS src/*.cpp)
    if(SOURCES)
        add_library(${NAME} STATIC ${SOURCES})
        target_include_directories(${NAME} PUBLIC include PRIVATE src)
        target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS} PRIVATE kc_options)
    else()
        add_library(${NAME} INTERFACE)
        target_include_directories(${NAME} INTERFACE include)
        target_link_libraries(${NAME} INTERFACE ${ARG_DEPENDS})
    endif()
    file(GLOB TESTS CONFIGURE_DEPENDS tests/*.cpp)
    if(TESTS)
        add_executable(${NAME}_tests ${TESTS})
        target_include_directories(${NAME}_tests PRIVATE src)
        target_link_libraries(${NAME}_tests PRIVATE ${NAME} kc_fakes kc_catch_main kc_options ${ARG_TEST_DEPENDS})
        add_test(NAME ${NAME} COMMAND ${NAME}_tests)
        # The seeded simulations take about 30 s in a release build and several times that under a sanitizer.
        set_tests_properties(${NAME} PROPERTIES TIMEOUT 1500)
    endif()
    file(GLOB BENCHMARKS CONFIGURE_DEPENDS benchmark/*.cpp)
    if(BENCHMARKS AND KC_BENCHMARKS)
        add_executable(${NAME}_benchmark ${BENCHMARKS})
        target_link_libraries(${NAME}_benchmark PRIVATE ${NAME} kc_fakes kc_options benchmark Threads::Threads)
    endif()
endfunction()

# kc_program(NAME DEPENDS ...): a program from the *.cpp files of the current folder.
function(kc_program NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp)
    add_executable(${NAME} ${SOURCES})
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} kc_options)
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
