/* A second host starts for the first time; two network cuts. */
#define PAUSES 0
#define CRASHES 0
#define CUTS 2
#define LATER 1
#define LAST 2
#include "manifest.inc"
