"""Puts the platform adapter on the module path; an HTTP server for its clients."""

import pathlib
import sys

import gevent.pywsgi

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "platform"
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))


class Server:
    """Answer each request with `answer(method, path, body) -> (status, bytes)`."""

    def __init__(self, answer):
        self.requests = []

        def application(environ, start_response):
            body = environ["wsgi.input"].read()
            path = environ["PATH_INFO"]
            if environ.get("QUERY_STRING"):
                path += "?" + environ["QUERY_STRING"]
            headers = {
                name[5:].replace("_", "-").lower(): value
                for name, value in environ.items()
                if name.startswith("HTTP_")
            }
            self.requests.append((environ["REQUEST_METHOD"], path, body, headers))
            status, content = answer(environ["REQUEST_METHOD"], path, body)
            start_response(
                f"{status} x",
                [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(content))),
                ],
            )
            return [content]

        self._server = gevent.pywsgi.WSGIServer(
            ("127.0.0.1", 0), application, log=None, error_log=None
        )
        self._server.start()
        self.port = self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)
