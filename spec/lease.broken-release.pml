/* Treats a token of its own as the lease after releasing it.
   Must violate: at most one host holds the lease at any time. */
#define BREAK_RELEASE
#include "lease.inc"
