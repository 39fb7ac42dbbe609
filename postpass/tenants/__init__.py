"""Limits of tenants: how many requests a second all edges together admit.

The store that owns a tenant's partition is the home of the tenant: it leases shares of the tenant's limit to edges, which
admit requests from their shares without asking for each one.

Pure modules: `limits` (how much of a limit may be handed out), `share_allocation` (how it is divided), `share_ledger` (the
state that a home keeps for a tenant), `edge_share` (the state that an edge keeps for a tenant). Modules with I/O:
`share_service` (the home, in a store), `home_client` and `edge_shares` (in an edge). `docs/quotas.md` describes the protocol
and why the limit holds.
"""
