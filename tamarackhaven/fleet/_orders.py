"""Operators' orders and reads, as a control VM executes them."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet._acknowledgements import Acknowledgements
from tamarackhaven.fleet._state import encode


class NotLeaderError(Exception):
    """Raised when this control VM doesn't lead.

    Parameters
    ----------
    host : str or None
        Host of the leading control VM, None if it isn't known.
    """

    def __init__(self, host):
        super().__init__(host)
        self.host = host


class Orders:
    """Executes the orders of operators on a control VM, and answers their reads.

    Parameters
    ----------
    control : FleetControl
        The control VM.
    founding : Founding
        Whether the group has voters enough for its first configuration.
    sessions : DaemonSessions
        Of the daemons that report.
    log : Log
        Log of the part ``control``.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, control, founding, sessions, log, metrics):
        self._control = control
        self._founding = founding
        self._machine = control.machine
        self.acknowledgements = Acknowledgements(
            control.machine, sessions, control.leadership_in_force, log, metrics
        )

    async def execute(self, command):
        """Commit and apply an operator's command; return its ``Outcome``.

        A change that was applied is returned once the daemons have taken it, see
        ``Acknowledgements``.

        Raises
        ------
        NotLeaderError
            Another control VM leads, or none does.
        TamarackhavenError
            INVALID_RESOURCE if it can't be stored; NO_QUORUM if it was not accepted;
            CHANGE_UNCONFIRMED if it may have been.
        """
        self._require_leadership()
        with self._machine.lock:
            has_configuration = self._machine.state.configuration.version > 0
        consensus = self._control.consensus
        voters = len(consensus.status().membership.voters)
        self._founding.require_voters(voters, has_configuration, boot_s())
        future = asyncio.wrap_future(consensus.propose(_encoded(command)))
        timeout_s = self._control.settings.order_timeout_s
        try:
            outcome = await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise TamarackhavenError(
                ErrorKind.CHANGE_UNCONFIRMED, "no quorum confirmed the change in time"
            ) from error
        # Before the first configuration no daemon serves by another one.
        if outcome.kind is None and has_configuration:
            await self._wait_for_daemons(command)
        return outcome

    async def _wait_for_daemons(self, command):
        """Return once the change may be acknowledged.

        Raises
        ------
        TamarackhavenError
            CHANGE_UNCONFIRMED if another member may lead by now, whose daemons this
            one doesn't know.
        """
        leadership = self._control.leadership_in_force()
        await self.acknowledgements.wait(command)
        try:
            await self._control.read()
        except TamarackhavenError as error:
            raise TamarackhavenError(
                ErrorKind.CHANGE_UNCONFIRMED, error.detail
            ) from error
        if leadership is None or leadership is not self._control.leadership_in_force():
            raise TamarackhavenError(
                ErrorKind.CHANGE_UNCONFIRMED, "another control VM leads by now"
            )

    def _require_leadership(self):
        if self._control.leads:
            return
        status = self._control.consensus.status()
        leader = status.membership.by_name.get(status.leader)
        is_other = leader is not None and status.leader != status.name
        raise NotLeaderError(leader.host if is_other else None)

    async def read_configuration(self):
        """Return the newest configuration.

        Raises
        ------
        NotLeaderError
            Another control VM leads, or none does.
        TamarackhavenError
            NO_QUORUM if no quorum confirms that this member leads.
        """
        await self._confirm_state()
        with self._machine.lock:
            return self._machine.state.configuration

    async def read_suspects(self):
        """Return all known ``SuspectRequest``; see ``read_configuration``."""
        await self._confirm_state()
        with self._machine.lock:
            return tuple(self._machine.state.suspect_by_request.values())

    async def _confirm_state(self):
        self._require_leadership()
        await self._control.read()


def _encoded(command):
    """Return the bytes of a command for the log.

    Raises
    ------
    TamarackhavenError
        INVALID_RESOURCE if it has a value that can't be stored.
    """
    try:
        return encode(command)
    except (OverflowError, ValueError, TypeError) as error:
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, f"cannot be stored: {error}"
        ) from error
