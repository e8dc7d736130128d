# ws_module(LAYER MODULE SOURCES ... [DEPS ...])
#
# Declares one module: the folder packages/LAYER/MODULE becomes the static
# library ws_LAYER_MODULE. A module may depend only on modules of its own layer
# or of a lower one; the configure step fails otherwise.
set(WS_LAYERS common state coordination protocol transport platform daemon
    cli)

function(ws_layer_of TARGET RESULT)
  string(REGEX REPLACE "^ws_([a-z]+)_.*$" "\\1" LAYER "${TARGET}")
  set(${RESULT} "${LAYER}" PARENT_SCOPE)
endfunction()

function(ws_check_layers LAYER TARGET)
  list(FIND WS_LAYERS ${LAYER} OWN_RANK)
  foreach(DEP ${ARGN})
    if(DEP MATCHES "^ws_")
      ws_layer_of(${DEP} DEP_LAYER)
      list(FIND WS_LAYERS ${DEP_LAYER} DEP_RANK)
      if(DEP_RANK GREATER OWN_RANK)
        message(FATAL_ERROR "${TARGET} links upward to ${DEP}")
      endif()
    endif()
  endforeach()
endfunction()

function(ws_module LAYER MODULE)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  set(TARGET ws_${LAYER}_${MODULE})
  ws_check_layers(${LAYER} ${TARGET} ${ARG_DEPS})
  add_library(${TARGET} STATIC ${ARG_SOURCES})
  target_include_directories(${TARGET} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  target_link_libraries(${TARGET} PUBLIC ${ARG_DEPS})
endfunction()

# ws_test(NAME SOURCES ... DEPS ... [ARGS ...])
#
# Declares one GoogleTest program, run by ctest as a whole under NAME.
function(ws_test NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_include_directories(${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPS} GTest::gtest_main
                                        GTest::gmock rapidcheck)
  add_test(NAME ${NAME} COMMAND ${NAME})
endfunction()
