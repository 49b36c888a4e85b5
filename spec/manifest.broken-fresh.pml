/* A freshly started host accepts knowledge that was verified before its start. */
#define BROKEN_FRESH
#define PAUSES 0
#define CRASHES 1
#define CUTS 1
#define LATER 0
#define LAST 2
#include "manifest.inc"
