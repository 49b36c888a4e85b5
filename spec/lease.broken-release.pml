/* Takes its own token for a right after releasing.
   Must violate: at most one host holds at once. */
#define BREAK_RELEASE
#include "lease.inc"
