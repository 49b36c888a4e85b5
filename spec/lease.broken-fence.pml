/* Does not raise the fencing number on a takeover.
   Must violate: a fencing number belongs to one host. */
#define BREAK_FENCE
#include "lease.inc"
