/* Numeric addresses as settings write them.  */

#ifndef SETTINGS_ADDRESS_H
#define SETTINGS_ADDRESS_H

#include "settings/settings.h"
#include <sys/socket.h>

enum
{
  ADDRESS_TEXT_BYTES = SETTINGS_HOST_BYTES + 8
};

/* What is wrong with the text of an address.  */
enum address_error
{
  ADDRESS_VALID,
  ADDRESS_MALFORMED,   /* not HOST:PORT or [HOST]:PORT with a numeric host */
  ADDRESS_PORT_INVALID /* the port is not a number from 1 to 65535 */
};

/* Read TEXT into A, with one spelling for each address, so that addresses can
   be compared.  A is undefined when TEXT is faulty.  */
enum address_error settings_address_parse (const char *text,
                                           struct settings_address *a);

/* Whether A and B, as settings_address_parse writes them, are the same.  */
bool settings_address_equal (const struct settings_address *a,
                             const struct settings_address *b);

/* The socket address of A.  STATUS_INVALID when its host is not numeric.  */
enum status settings_address_to_sockaddr (const struct settings_address *a,
                                          struct sockaddr_storage *to);

/* The numeric address in FROM.  */
void settings_address_from_sockaddr (struct settings_address *a,
                                     const struct sockaddr_storage *from);

/* "HOST:PORT", with brackets around an IPv6 host.  */
void settings_address_format (const struct settings_address *a,
                              char text[ADDRESS_TEXT_BYTES]);

#endif
