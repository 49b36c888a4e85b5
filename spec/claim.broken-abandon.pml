/* Abandons an unsure claim by writing over whatever record the table holds.
   Must violate: "runs at most once". */
#define BREAK_ABANDON
#define HOSTS 3
#define FAULTS 2
#include "claim.inc"
