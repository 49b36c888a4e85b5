/* The age of a paused host's knowledge does not increase. */
#define BROKEN_PAUSE
#define PAUSES 1
#define CRASHES 0
#define CUTS 0
#define LATER 0
#define LAST 2
#include "manifest.inc"
