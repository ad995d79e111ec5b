#include <stdlib.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  // RapidCheck and Abseil keep statics that CppUTest would report as leaks;
  // the address sanitizer looks for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Keeps an explicit seed from the environment.
  constexpr int kKeepExisting = 0;
  setenv("RC_PARAMS", "seed=7", kKeepExisting);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
