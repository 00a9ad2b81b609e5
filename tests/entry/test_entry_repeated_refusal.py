"""Tests of refusals that a target sends once more on a kept connection."""

import gevent
import pytest
from entry_helper import config, entry_target
from path_helper import raw_target, read_head
from stack_helper import Stack, raw_head, running

REFUSED, DONE = "X-Not-Run: 1", "X-Signature: s"
WORK_S = 0.05


# Guards against a refusal that a target sends once more, and that is taken for the
# response to the next request on the connection, or to the same one sent again.
@pytest.mark.parametrize("next_id", ["id-1", "id-2"])
def test_repeated_refusal_is_not_the_response_to_a_later_request(next_id):
    refusal = raw_head(503, "X-Id: id-1", REFUSED)

    def serve(sock):
        read_head(sock)
        sock.sendall(refusal)
        if read_head(sock):
            # Late, when the next request runs.
            sock.sendall(refusal)
            gevent.sleep(WORK_S)
            sock.sendall(raw_head(200, f"X-Id: {next_id}", DONE))

    def serve_first(sock):
        connections.append(sock)
        if len(connections) == 1:
            serve(sock)
        elif read_head(sock):
            sock.sendall(raw_head(200, f"X-Id: {next_id}", DONE))

    connections = []
    with running(Stack(config())) as stack, raw_target(serve_first) as target:
        stack.add_target(entry_target("t0", target.address))
        assert stack.call()[0] == 503
        assert stack.call(X_Id=next_id)[0] == 200
        assert len(connections) == (2 if next_id == "id-1" else 1)
