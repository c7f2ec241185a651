"""Entry point of `make demo`."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import defopt  # noqa: E402
import gevent  # noqa: E402

from demo import deployment  # noqa: E402

EXIT_STOPPED = 128 + signal.SIGTERM


def run(*, keep: bool = False) -> int:
    """Run both deployments and print a summary.

    :param keep: Keep the first deployment running until interrupted.
    """
    # Both signals raise an exception, so that the started processes are stopped. SIGINT
    # needs a handler because a shell may have background jobs ignore it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_STOPPED))
    signal.signal(signal.SIGINT, signal.default_int_handler)
    began = time.monotonic()

    def log(line: str) -> None:
        print(f"[{time.monotonic() - began:5.1f} s] {line}", flush=True)

    if keep:
        return keep_running(log)
    summaries = [deployment.execute(each, log) for each in deployment.DEPLOYMENTS]
    print()
    for summary in summaries:
        print("\n".join(summary.lines()))
    print()
    print("To keep a deployment running and use the command line on it:")
    print("    .venv/bin/python -m demo --keep")
    print(f"took {time.monotonic() - began:.1f} s")
    return 0 if all(summary.passed for summary in summaries) else 1


def keep_running(log) -> int:
    """Run the first deployment and print how to connect to it."""
    with deployment.start(deployment.DEPLOYMENTS[0], log) as running:
        options = running.cluster.daemon_options.values()
        endpoints = ",".join(f"127.0.0.1:{item.http_port}" for item in options)
        print("In another terminal:")
        print(f"    export TOUCANSPRING_ENDPOINTS={endpoints}")
        print(f"    export TOUCANSPRING_OPERATOR_KEY={running.cluster.operator_key}")
        print(f"    export TOUCANSPRING_KEY={running.keys['labels']['secret']}")
        print("    .venv/bin/toucanspring submit proof-rendering --id first")
        print("    .venv/bin/toucanspring wait first")
        print("    .venv/bin/toucanspring workers")
        print(f"Interrupt this process ({os.getpid()}) to stop.", flush=True)
        try:
            gevent.sleep(24 * 3600)
        except KeyboardInterrupt:
            log("stopping")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
