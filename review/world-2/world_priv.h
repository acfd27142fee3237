/* Shared by the files of the world only. */
#ifndef REVIEW_WORLD_PRIV_H
#define REVIEW_WORLD_PRIV_H

extern char world_folder[512];
void relay_kill_all(void);

#endif
