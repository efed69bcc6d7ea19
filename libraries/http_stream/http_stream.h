#ifndef BORAGELOFT_HTTP_STREAM_HTTP_STREAM_H_
#define BORAGELOFT_HTTP_STREAM_HTTP_STREAM_H_

/** @file Public header of the http_stream library: event-driven HTTP/1.1 on Asio. */

#include "libraries/http_stream/message.h"
#include "libraries/http_stream/message_parser.h"
#include "libraries/http_stream/response_syntax.h"
#include "libraries/http_stream/server.h"
#include "libraries/http_stream/slow_reader_policy.h"

#endif  // BORAGELOFT_HTTP_STREAM_HTTP_STREAM_H_
