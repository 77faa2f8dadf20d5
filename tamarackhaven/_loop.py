"""An asyncio event loop in a thread, for calls with ``grpclib``.

The rest of the program uses ``concurrent.futures``; this is the only place where the
two meet.
"""

import asyncio
import concurrent.futures
import threading


class LoopThread:
    """Runs an event loop in a daemon thread until ``stop`` is called."""

    def __init__(self, name):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def submit(self, coroutine):
        """Schedule a coroutine and return its ``concurrent.futures.Future``."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def call(self, coroutine, timeout_s):
        """Run a coroutine and return its result.

        Raises
        ------
        TimeoutError
            If it takes longer than ``timeout_s`` seconds; the coroutine is cancelled.
        """
        future = self.submit(coroutine)
        try:
            return future.result(timeout_s)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise TimeoutError from None

    def stop(self):
        """Cancel all tasks, stop the loop and wait for its thread to end."""
        self.submit(_cancel_other_tasks()).add_done_callback(
            lambda _: self.loop.call_soon_threadsafe(self.loop.stop)
        )
        self._thread.join()


async def _cancel_other_tasks():
    other_tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in other_tasks:
        task.cancel()
    await asyncio.gather(*other_tasks, return_exceptions=True)
