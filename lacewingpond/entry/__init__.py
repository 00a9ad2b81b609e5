"""Entry daemon for a platform that keeps all shared state in its store.

It is not the daemon of ``lacewingpond serve`` (`lacewingpond.daemon`). Both use http,
targets, routing and retries, but each has its own classes for the handling of requests,
some under the same name: those here and those of `lacewingpond.proxy`.
"""
