/* Gives an unsure claim up over whatever record stands there.
   Must violate: "runs at most once". */
#define BREAK_ABANDON
#define HOSTS 3
#define FAULTS 2
#include "claim.inc"
