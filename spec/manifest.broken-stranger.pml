/* A host is excluded by a leading host with which it never exchanged a hello. */
#define BROKEN_STRANGER
#define PAUSES 0
#define CRASHES 0
#define CUTS 2
#define LATER 1
#define LAST 2
#include "manifest.inc"
