/* Counts the right from the end of a write.
   Must violate: at most one host holds at once. */
#define BREAK_START
#include "lease.inc"
