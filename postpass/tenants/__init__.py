"""Limits of tenants: how many requests a second all edges together let run.

Pure: `limits` (what may be handed out of a limit), `share_allocation` (who gets how much), `share_ledger` (the state of a
tenant's home), `edge_share` (the state of an edge). With I/O: `share_service` (the home, in a store), `home_client` and
`edge_shares` (in an edge). `docs/quotas.md` has the protocol and why the limit holds.
"""
