"""The path of a live request from the client's connection to a worker's and back.

Clients' side: `http_server` (limits of connections), `gateway` (HTTP routes of an edge) or, in an announced fleet,
`relay` before it. Live requests: `live_requests`, by `admission_control` and the attempts' rules in `attempts`. Relayed
requests: `relay`, by `worker_selection`, `load_balancing` and `response_check`. Workers' side: `connection_pool` and
`upstream_connection`, or aiohttp for what isn't relayed. Jobs only pass through: `job_routes` and `owner_client`.
"""
