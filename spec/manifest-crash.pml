/* Two hosts, one crash and one network cut. */
#define PAUSES 0
#define CRASHES 1
#define CUTS 1
#define LATER 0
#define LAST 2
#include "manifest.inc"
