/* A host that does not know the outcome of a staged generation serves as before. */
#define BROKEN_BOTH
#define PAUSES 0
#define CRASHES 0
#define CUTS 2
#define LATER 0
#define LAST 2
#include "manifest.inc"
