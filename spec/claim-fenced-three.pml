/* A service that checks fencing numbers and has a look-up path; three hosts. */
#define FENCED
#define HOSTS 3
#define FAULTS 1
#include "claim.inc"
