/* A working path to the peer counts even after a gap in contact. */
#define BROKEN_GAP
#define PAUSES 1
#define CRASHES 1
#define CUTS 2
#define LATER 0
#define LAST 2
#include "manifest.inc"
