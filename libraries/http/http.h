#ifndef BORAGELOFT_HTTP_HTTP_H_
#define BORAGELOFT_HTTP_HTTP_H_

/** @file Public header of the http library: the server for callers and the upstream's client. */

#include "libraries/http/cancellation.h"
#include "libraries/http/context_headers.h"
#include "libraries/http/http_server.h"
#include "libraries/http/http_types.h"
#include "libraries/http/problem.h"
#include "libraries/http/upstream_client.h"

#endif  // BORAGELOFT_HTTP_HTTP_H_
