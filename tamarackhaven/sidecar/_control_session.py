"""One link of a daemon to a control VM, from the question who leads to its end."""

import asyncio

from tamarackhaven.fleet._messages import LeaderHint


class ControlSession:
    """Passes what control VMs say of leaders to the search, and the rest to a session.

    Two control VMs may both claim to lead, and then one link isn't used. If its closing
    counted as that of the link in use, reports would follow each other without a pause.
    So messages and the closing of a link are ignored until its session begins, and only
    one session is in use at a time.

    Parameters
    ----------
    host : str
        Of the control VM.
    on_hint : callable
        ``on_hint(session, hint)`` is called with each ``LeaderHint``.
    on_closed : callable
        ``on_closed(session)`` is called when the link is closed.

    Attributes
    ----------
    link : Link or None
        None until it has been dialled.
    hint : LeaderHint or None
        The newest one.
    term : int
        In which the control VM last said that it leads, 0 if it never did.
    has_answered : asyncio.Event
        Set by the first hint, and by the end of the link.
    """

    def __init__(self, host, on_hint, on_closed):
        self.host = host
        self._on_hint = on_hint
        self._on_closed = on_closed
        self._on_message = None
        self._early_messages = []
        self.link = None
        self.hint = None
        self.term = 0
        self.has_answered = asyncio.Event()

    def begin(self, on_message):
        """Pass all messages but hints to ``on_message(message)``, also earlier ones."""
        self._on_message = on_message
        for message in self._early_messages:
            on_message(message)
        self._early_messages = []

    def on_message(self, _link, message):
        """Handle a message of the control VM."""
        if isinstance(message, LeaderHint):
            self._handle_hint(message)
        elif self._on_message is not None:
            self._on_message(message)
        else:
            self._early_messages.append(message)

    def _handle_hint(self, hint):
        self.hint = hint
        if hint.is_leader:
            self.term = hint.term
        self.has_answered.set()
        self._on_hint(self, hint)

    def on_closed(self, _link):
        """Handle the end of the link."""
        self.has_answered.set()
        self._on_closed(self)

    def abort(self):
        """Close the link."""
        if self.link is not None:
            self.link.abort()
