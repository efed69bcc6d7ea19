// Debian's libcpp-httplib is built without ThreadSanitizer, so the locks and the guards of static
// variables inside it are invisible and its own accesses look like races. Accesses of this
// repository's code are still checked, also when the library calls it.
extern "C" const char* __tsan_default_suppressions();   // NOLINT(bugprone-reserved-identifier)
extern "C" const char* __tsan_default_suppressions() {  // NOLINT(bugprone-reserved-identifier)
  return "called_from_lib:libcpp-httplib.so\n";
}
