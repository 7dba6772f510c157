#include "settings/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DECIMAL = 10
};

/* Copy the host of TEXT without brackets to HOST, set FAMILY and return the
   text of the port.  NULL if TEXT is not HOST:PORT or [HOST]:PORT.  */
static const char *
split_address (const char *text, char host[SETTINGS_HOST_BYTES], int *family)
{
  bool bracketed = text[0] == '[';
  const char *begin = bracketed ? text + 1 : text;
  const char *end = strchr (begin, bracketed ? ']' : ':');
  if (end == NULL || end - begin >= SETTINGS_HOST_BYTES)
    return NULL;
  memcpy (host, begin, (size_t)(end - begin));
  host[end - begin] = '\0';
  *family = bracketed ? AF_INET6 : AF_INET;
  if (bracketed && *++end != ':')
    return NULL;
  return end + 1;
}

enum address_error
settings_address_parse (const char *text, struct settings_address *a)
{
  char host[SETTINGS_HOST_BYTES];
  struct in6_addr binary;
  int family = AF_INET;
  const char *port_text = split_address (text, host, &family);
  if (port_text == NULL || inet_pton (family, host, &binary) != 1)
    return ADDRESS_MALFORMED;
  char *end = NULL;
  bool digit = *port_text >= '0' && *port_text <= '9';
  unsigned long port = digit ? strtoul (port_text, &end, DECIMAL) : 0;
  if (!digit || *end != '\0' || port < 1 || port > UINT16_MAX)
    return ADDRESS_PORT_INVALID;
  inet_ntop (family, &binary, a->host, sizeof a->host);
  a->port = (uint16_t)port;
  return ADDRESS_VALID;
}

bool
settings_address_equal (const struct settings_address *a,
                        const struct settings_address *b)
{
  return a->port == b->port && strcmp (a->host, b->host) == 0;
}

enum status
settings_address_to_sockaddr (const struct settings_address *a,
                              struct sockaddr_storage *to)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)to;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)to;
  memset (to, 0, sizeof *to);
  if (inet_pton (AF_INET, a->host, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (a->port);
      return STATUS_OK;
    }
  if (inet_pton (AF_INET6, a->host, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (a->port);
      return STATUS_OK;
    }
  return status_set (STATUS_INVALID, "'%s' is not a numeric address", a->host);
}

void
settings_address_from_sockaddr (struct settings_address *a,
                                const struct sockaddr_storage *from)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)from;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)from;
  memset (a, 0, sizeof *a);
  if (from->ss_family == AF_INET)
    {
      inet_ntop (AF_INET, &v4->sin_addr, a->host, sizeof a->host);
      a->port = ntohs (v4->sin_port);
    }
  else if (from->ss_family == AF_INET6)
    {
      inet_ntop (AF_INET6, &v6->sin6_addr, a->host, sizeof a->host);
      a->port = ntohs (v6->sin6_port);
    }
}

void
settings_address_format (const struct settings_address *a,
                         char text[ADDRESS_TEXT_BYTES])
{
  const char *fmt = strchr (a->host, ':') != NULL ? "[%s]:%u" : "%s:%u";
  snprintf (text, ADDRESS_TEXT_BYTES, fmt, a->host, a->port);
}
