#pragma once

typedef struct st_h2o_req_t h2o_req_t;

namespace cassiaroad {

/**
 * Tells the reader of the connection when h2o frees the memory of an HTTP/2 request. Precondition:
 * @p request came on a connection of HttpServer. Loop thread only.
 */
void notifyOfEnd(h2o_req_t &request);

} // namespace cassiaroad
