/* Two hosts, a pause and two cuts. */
#define PAUSES 1
#define CRASHES 0
#define CUTS 2
#define LATER 0
#define LAST 2
#include "manifest.inc"
