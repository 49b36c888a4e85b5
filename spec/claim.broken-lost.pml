/* Treats a lost response as a request that was not sent.
   Must violate: "told not run, the request did not run". */
#define BREAK_LOST
#include "claim.inc"
