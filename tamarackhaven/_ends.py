"""Counts, from a fleet's logs, the targets that ended under each request. No I/O."""

import collections

import attrs


@attrs.frozen
class RequestEnds:
    """What became of the targets that ran one request.

    Parameters
    ----------
    digest : str
        Of what the request asks for, as the log lines name it.
    ends : int
        Lives of targets that ended while they ran it.
    answers : int
        Sends of it that a target answered.
    attempts : int
        Attempts of callers that asked for it.
    service, route : str
        Where it was last sent, empty if the logs don't say.
    attempt_id : str
        Of one of those attempts.
    """

    digest: str
    ends: int
    answers: int
    attempts: int
    service: str
    route: str
    attempt_id: str

    @property
    def text(self):
        """The request as a line of a table."""
        return (
            f"{self.digest}  {self.ends:4} ends {self.answers:6} answers"
            f" {self.attempts:6} attempts  {self.service} {self.route}"
            f" {self.attempt_id}".rstrip()
        )


def ends(lines):
    """Return the requests that targets had when they ended, those with most ends first.

    Parameters
    ----------
    lines : iterable of Line
        Log lines of all daemons, in any order.

    Returns
    -------
    list of RequestEnds
    """
    lines_by_digest = collections.defaultdict(list)
    lives_by_digest = collections.defaultdict(set)
    attempt_id_by_digest = {}
    for line in sorted(lines):
        if line.sentence == "gate: target ended":
            for attempt_id, digest in line.fields.get("requests", ()):
                lives_by_digest[digest].add(line.fields.get("life"))
                attempt_id_by_digest[digest] = attempt_id
        elif line.sentence in ("caller: ended", "caller: refused"):
            lines_by_digest[line.fields.get("request", "")].append(line)
    found = [
        _count(digest, len(lives), lines_by_digest[digest], attempt_id_by_digest)
        for digest, lives in lives_by_digest.items()
    ]
    return sorted(found, key=lambda each: (-each.ends, each.digest))


def _count(digest, end_count, lines, attempt_id_by_digest):
    last = lines[-1].fields if lines else {}
    return RequestEnds(
        digest,
        end_count,
        sum(line.fields.get("end") == "Answered" for line in lines),
        len({line.request_id for line in lines}),
        last.get("service", ""),
        last.get("route", ""),
        attempt_id_by_digest[digest],
    )
