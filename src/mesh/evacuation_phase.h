/* What may be sent to the targets of an availability zone.  */

#ifndef MESH_EVACUATION_PHASE_H
#define MESH_EVACUATION_PHASE_H

enum evacuations_phase
{
  EVACUATIONS_OPEN,
  EVACUATIONS_CLOSING,   /* what waits may start, nothing new */
  EVACUATIONS_CLOSED,    /* nothing */
  EVACUATIONS_REOPENING, /* nothing until the state of the target is known */
  /* Nothing: the set is not known yet, or may have changed since this node
     was cut off from the store and from all other nodes.  */
  EVACUATIONS_UNKNOWN
};

#endif
