// Package ingress is the client side of a router. It accepts connections, checks each request, waits for the
// dispatcher's decision, makes the attempts that the dispatcher decides on, and returns the answer to the client.
//
// # The way of a request
//
//  1. Server accepts the connection (server.go, client_connection.go).
//  2. Handler.ServeHTTP accepts or rejects the request (handler.go, accept.go): syntax (syntax.go), body (body.go,
//     memory_budget.go), route, tenant, deadline and service in the configuration in force (lookup.go, traffic_split.go, view.go).
//  3. The dispatcher is given what it needs to know of the request (dispatch_request.go).
//  4. proxiedRequest carries out the dispatcher's decisions (forward.go), each of them by one attempt at one endpoint
//     (attempt.go), until the client has an answer.
//  5. The answer is written: read to its end before (response.go), as it comes (large_response.go), or event by event
//     (event_stream.go).
//
// # Why a request was not forwarded, or was answered 429, 502, 503 or 504
//
// rejection.go lists every reason for which the router answers by itself, with its status, its Retry-After and what
// becomes of the connection. Any other answer is an endpoint's.
//
// The golden files in testdata hold each of these answers byte by byte.
package ingress
