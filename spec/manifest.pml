/* Two hosts, one pause, one network cut and two pushes. */
#define PAUSES 1
#define CRASHES 0
#define CUTS 1
#define LATER 0
#define LAST 3
#include "manifest.inc"
