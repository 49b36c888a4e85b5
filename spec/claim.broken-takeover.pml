/* Takes a claim over although the service does not check numbers.
   Must violate: "runs at most once". */
#define BREAK_TAKEOVER
#include "claim.inc"
