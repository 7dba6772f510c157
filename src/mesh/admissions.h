/* Bodies that this node has agreed to receive: who may send one, and how much
   of this node's link they still need.

   An admission reserves the bytes of one request on the receiving side of the
   link.  Its bytes are free again as they arrive, when the request has
   arrived, and when the admission expires.

   Does no I/O and reads no clock.  */

#ifndef MESH_ADMISSIONS_H
#define MESH_ADMISSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct admissions;

enum admission_use
{
  ADMISSION_NONE,    /* never given */
  ADMISSION_HELD,    /* valid, and used up now */
  ADMISSION_EXPIRED, /* given, but too long ago */
  ADMISSION_USED     /* another request had it */
};

enum admission_end
{
  ADMISSION_END_EXPIRED, /* its bytes are free again */
  ADMISSION_END_DEADLINE /* nobody waits for the request any more */
};

/* KBPS: the rate of the link, not 0.  */
struct admissions *admissions_new (uint32_t kbps);
void admissions_free (struct admissions *a);

/* Count other BYTES that were received over the link; negative ones are taken
   back.  */
void admissions_count_other (struct admissions *a, double bytes,
                             int64_t now_ns);

/* The expected time until all admitted bytes have arrived.  */
int64_t admissions_wait_ns (const struct admissions *a, int64_t now_ns);

/* When there is room for another body: 0: now, else how long until then.  */
int64_t admissions_room_after_ns (const struct admissions *a, int64_t now_ns);

/* When the sender of a body that is admitted now should begin: bodies that
   arrive together would meet in the queue in front of the link, and delay
   small requests there.  */
int64_t admissions_start_ns (const struct admissions *a, int64_t now_ns);

/* The number of admitted requests that have not arrived.  */
uint32_t admissions_pending (const struct admissions *a);

/* Admit the request CALL_ID of the connection FROM, of BYTES that are expected
   to have arrived in TRANSFER_NS.  False if it has an admission already.  */
bool admissions_add (struct admissions *a, const void *from, uint64_t call_id,
                     size_t bytes, int64_t transfer_ns, int64_t deadline_ns,
                     int64_t now_ns);

/* BYTES of the request have arrived.  False if it has no admission.  */
bool admissions_receive (struct admissions *a, const void *from,
                         uint64_t call_id, size_t bytes);

/* The request has arrived.  */
enum admission_use admissions_use (struct admissions *a, const void *from,
                                   uint64_t call_id, int64_t now_ns);

/* The request was cancelled.  */
void admissions_cancel (struct admissions *a, const void *from,
                        uint64_t call_id);

/* The connection FROM was closed.  */
void admissions_close (struct admissions *a, const void *from);

/* Let admissions expire, and forget those whose deadline has passed.  EACH is
   called for every one that was not used.  */
typedef void admissions_visitor (void *arg, void *from, uint64_t call_id,
                                 enum admission_end end);
void admissions_sweep (struct admissions *a, int64_t now_ns,
                       admissions_visitor *each, void *arg);

#endif
