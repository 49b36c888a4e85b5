/* Keeps the number on a takeover.
   Must violate: a number belongs to one host. */
#define BREAK_FENCE
#include "lease.inc"
