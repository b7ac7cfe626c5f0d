package hangup

// A constructor runs before the Go runtime, which takes several times as long to start on a busy
// machine. The runtime keeps the signal ignored until Notify. Without a C compiler this file is left
// out, and the signal ends the process until its package is initialized.

// #include <signal.h>
// __attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
import "C"
