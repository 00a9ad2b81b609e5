"""HTTP/1.1 server for callers that streams requests and responses."""
