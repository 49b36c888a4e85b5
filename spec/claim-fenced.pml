/* A service that checks fencing numbers and says what it ran. */
#define FENCED
#define FAULTS 4
#include "claim.inc"
