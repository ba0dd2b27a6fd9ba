// Bounds the memory that parsing the JSON documents of callers takes: a short text can stand for many values.
#pragma once
#include "http_api/responses.h"

namespace herontally::http_api {

// Upper bound on the memory of the parsed form of a JSON text, in bytes.
std::size_t parsed_size(const std::string& text);
// Reserves the memory to parse the request's body, until the writer is dropped. False: there is none, and the
// caller was sent a 503, which promises that nothing was done.
bool admit_document(const runtime::inbound_request& request, const writer& out);

}  // namespace herontally::http_api
