/* Takes over before the former right can have ended.
   Must violate: at most one host holds at once. */
#define BREAK_WAIT
#include "lease.inc"
