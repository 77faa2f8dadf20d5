"""Gauges of a daemon's view, links and target, set whenever metrics are read."""

import attrs

from tamarackhaven._clock import boot_s


@attrs.frozen
class DaemonGauges:
    """What the gauges show.

    Parameters
    ----------
    state : TargetState
        Of the target.
    inbound : Inbound
        The gate of the target.
    view : View
        Of the control group's state.
    view_updates : ViewUpdates
        Of the view.
    link_server : LinkServer
        Receives links of other daemons.
    peers : Peers
        Links to other daemons.
    metrics : Metrics
        Of the process.
    """

    state: object
    inbound: object
    view: object
    view_updates: object
    link_server: object
    peers: object
    metrics: object

    def update(self):
        """Set all gauges."""
        self._update_view()
        self._update_target()
        self._update_links()

    def _update_view(self):
        stamp = self.view.configuration_stamp(boot_s())
        gauge = self.metrics.gauge
        gauge("tamarackhaven_configuration_version", stamp.version)
        gauge("tamarackhaven_configuration_index", stamp.index)
        gauge("tamarackhaven_configuration_digest", int(stamp.digest or "0", 16))
        age_s = float("inf") if stamp.age_s is None else stamp.age_s
        gauge("tamarackhaven_view_age_seconds", age_s)
        gauge("tamarackhaven_view_behind_seconds", self.view_updates.behind_s())

    def _update_target(self):
        gauge = self.metrics.gauge
        limit_per_s = self.state.limit.per_s
        gauge("tamarackhaven_target_limits_in_force", int(limit_per_s is not None))
        gauge("tamarackhaven_target_limit_per_second", limit_per_s or 0.0)
        age_s = boot_s() - self.state.heartbeat_received_s
        gauge("tamarackhaven_target_heartbeat_age_seconds", age_s)

    def _update_links(self):
        gauge = self.metrics.gauge
        intake = self.inbound.intake
        gauge("tamarackhaven_body_announced_bytes", intake.remaining_bytes)
        gauge("tamarackhaven_link_arriving_bytes", self.link_server.arriving_bytes)
        gauge("tamarackhaven_link_bytes_per_second", intake.bytes_per_s)
        gauge("tamarackhaven_link_unsent_bytes", self.peers.unsent_bytes())
