/* A service that checks no fencing numbers and has no look-up path; three hosts. */
#define HOSTS 3
#include "claim.inc"
