/* A generation is accepted immediately and distributed afterwards. */
#define BROKEN_SPREAD
#define PAUSES 0
#define CRASHES 0
#define CUTS 1
#define LATER 0
#define LAST 2
#include "manifest.inc"
