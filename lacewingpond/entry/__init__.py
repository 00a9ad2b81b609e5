"""Entry daemon for a platform that keeps all shared state in its store.

It is not the standalone daemon of ``lacewingpond serve`` (`lacewingpond.daemon`). Both
use http, targets, routing and retries, but each has its own classes for the handling of
requests: those here, most of them prefixed with Entry, and those of
`lacewingpond.proxy`.
"""
