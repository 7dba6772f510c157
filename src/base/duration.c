#include "base/duration.h"

#include "base/clock.h"
#include "base/histogram.h"
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

struct duration_entry
{
  const char *name;
  const char *help;
};

static const struct duration_entry catalogue[] = {
#define DURATION(name, help) { #name, help },
#include "base/durations.def"
#undef DURATION
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Created with the first value.  */
static struct histogram *histograms[DURATION_COUNT];

void
duration_add (enum duration d, int64_t value_ns)
{
  pthread_mutex_lock (&lock);
  if (histograms[d] == NULL)
    histograms[d] = histogram_new ();
  if (histograms[d] != NULL)
    histogram_add (histograms[d], value_ns / NS_PER_US);
  pthread_mutex_unlock (&lock);
}

static uint64_t
count_of (const struct histogram *h)
{
  return h == NULL ? 0 : histogram_count (h);
}

uint64_t
duration_count (enum duration d)
{
  pthread_mutex_lock (&lock);
  uint64_t count = count_of (histograms[d]);
  pthread_mutex_unlock (&lock);
  return count;
}

static void
export_one (FILE *out, const struct duration_entry *e,
            const struct histogram *h)
{
  static const double percents[] = { 50, 90, 99, 99.9 };
  fprintf (out, "# HELP crocusbend_%s_us %s, microseconds\n", e->name,
           e->help);
  fprintf (out, "# TYPE crocusbend_%s_us summary\n", e->name);
  for (size_t i = 0; i < sizeof percents / sizeof percents[0]; i++)
    fprintf (out, "crocusbend_%s_us{quantile=\"%g\"} %" PRId64 "\n", e->name,
             percents[i] / 100,
             h == NULL ? 0 : histogram_percentile (h, percents[i]));
  fprintf (out, "crocusbend_%s_us_count %" PRIu64 "\n", e->name, count_of (h));
}

char *
duration_export (void)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  if (out == NULL)
    return NULL;
  pthread_mutex_lock (&lock);
  for (int d = 0; d < DURATION_COUNT; d++)
    export_one (out, &catalogue[d], histograms[d]);
  pthread_mutex_unlock (&lock);
  fclose (out);
  return text;
}
