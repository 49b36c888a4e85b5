/* Two hosts, one pause and two network cuts. */
#define PAUSES 1
#define CRASHES 0
#define CUTS 2
#define LATER 0
#define LAST 2
#include "manifest.inc"
