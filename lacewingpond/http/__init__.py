"""The caller's side: an HTTP/1.1 server that streams both ways."""
