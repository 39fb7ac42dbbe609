"""The edge: the path of a live request from the client's connection to a worker's connection and back.

Client side: `http_server` enforces the limits of connections; `gateway` has the HTTP routes of an edge; in a fleet whose
machines announce themselves, `relay` comes before it. Live requests: `live_requests` uses `admission_control` and the retry
rules in `attempts`. Relayed requests: `relay` uses `worker_selection`, `postpass.routing` and `response_check`. Worker side:
`connection_pool` and `upstream_connection`, or aiohttp for requests that aren't relayed. Jobs are only forwarded to their
owners, by `job_routes` and `owner_client`.
"""
