/* reply: the answer of another relay to a call, as FRAME_ANSWER carries it. */
#ifndef SP_REPLY_H
#define SP_REPLY_H

#include "relay/frame.h"
#include "relay/relay.h"

/* read_reply reads the fields from the kind to the body; returns 0 if they are
   no answer. Lines and body belong to the frame. */
int read_reply(FrameIn *f, Result *r);

#endif
