/* Asks the service without showing it the new number.
   Must violate: "runs at most once". */
#define BREAK_LOOKUP
#define FENCED
#include "claim.inc"
