"""Stand-in for the object store."""

from gevent import monkey

monkey.patch_all()

import defopt  # noqa: E402

from standins import events, host, service  # noqa: E402

PREFIX = "/v1/objects/"


class Objects:
    """Hold all objects in memory."""

    def __init__(self, record: events.Record) -> None:
        self._objects: dict[str, bytes] = {}
        self._record = record

    def handle(self, request: service.Request) -> service.Response:
        """Answer one call of the object store."""
        if not request.path.startswith(PREFIX):
            return service.Response(404)
        key = request.path[len(PREFIX) :]
        match request.method:
            case "PUT":
                self._objects[key] = request.body
                self._record.add(
                    "put", client=request.client, key=key, size=len(request.body)
                )
                return service.Response(204)
            case "GET":
                content = self._objects.get(key)
                self._record.add("get", client=request.client, key=key)
                if content is None:
                    return service.Response(404)
                return service.Response(200, content)
            case "DELETE":
                self._objects.pop(key, None)
                self._record.add("delete", client=request.client, key=key)
                return service.Response(204)
            case _:
                return service.Response(400)


def main(
    *,
    address: str = "127.0.0.1",
    port: int,
    control_port: int | None = None,
    seed: int = 0,
) -> None:
    """Serve the object store.

    :param address: IP address to listen on.
    :param port: Port of the service, and of the control interface.
    :param control_port: Port that serves the control interface while the service
        is down.
    :param seed: Seed of the random choice of failing calls.
    """
    host.run(
        "objects",
        address,
        port,
        control_port,
        seed,
        lambda record: Objects(record).handle,
    )


if __name__ == "__main__":
    defopt.run(main)
