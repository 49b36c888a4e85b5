/* Manifest pushes; see push.inc. */
#include "push.inc"
