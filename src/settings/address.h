/* Conversion of numeric addresses between text and socket addresses.  */

#ifndef SETTINGS_ADDRESS_H
#define SETTINGS_ADDRESS_H

#include "settings/settings.h"
#include <sys/socket.h>

enum
{
  ADDRESS_TEXT_BYTES = SETTINGS_HOST_BYTES + 8
};

/* Result of parsing an address.  */
enum address_error
{
  ADDRESS_VALID,
  ADDRESS_MALFORMED,   /* not HOST:PORT or [HOST]:PORT with a numeric host */
  ADDRESS_PORT_INVALID /* the port is not a number from 1 to 65535 */
};

/* Parse TEXT into A.  The host is stored in its canonical form, so that
   addresses can be compared.  A is undefined if TEXT is invalid.  */
enum address_error settings_address_parse (const char *text,
                                           struct settings_address *a);

/* Whether A and B, with canonical hosts, are the same address.  */
bool settings_address_equal (const struct settings_address *a,
                             const struct settings_address *b);

/* Convert A to a socket address.  STATUS_INVALID if its host is not numeric.
 */
enum status settings_address_to_sockaddr (const struct settings_address *a,
                                          struct sockaddr_storage *to);

/* Convert FROM, an IPv4 or IPv6 socket address, to A.  */
void settings_address_from_sockaddr (struct settings_address *a,
                                     const struct sockaddr_storage *from);

/* Write A to TEXT as "HOST:PORT", an IPv6 host in brackets.  */
void settings_address_format (const struct settings_address *a,
                              char text[ADDRESS_TEXT_BYTES]);

#endif
