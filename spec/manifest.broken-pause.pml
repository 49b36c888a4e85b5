/* Time does not pass for a paused host. */
#define BROKEN_PAUSE
#define PAUSES 1
#define CRASHES 0
#define CUTS 0
#define LATER 0
#define LAST 2
#include "manifest.inc"
