/* Ports of the links between the relays of spmesh. */
#ifndef SP_STANDIN_MESHPORT_H
#define SP_STANDIN_MESHPORT_H

#define MESH_LINK_PORT 7620  /* where relays listen */
#define MESH_PROXY_PORT 7621 /* where their peers connect instead */

#endif
