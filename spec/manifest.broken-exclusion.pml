/* An unresponsive host is excluded immediately. */
#define BROKEN_EXCLUSION
#define PAUSES 1
#define CRASHES 0
#define CUTS 1
#define LATER 0
#define LAST 2
#include "manifest.inc"
