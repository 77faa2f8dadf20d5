"""Finds the route of a request and selects one of the route's services."""


class RouteTable:
    """The routes of one configuration, indexed by host.

    Parameters
    ----------
    configuration : Configuration
        Must have passed ``check``.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self.service_by_name = configuration.service_by_name
        self._route_by_prefix_by_host = {}
        for route in configuration.routes:
            route_by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            route_by_prefix[route.prefix] = route

    def find(self, host, path):
        """Return the route of ``host`` with the longest prefix of ``path``, or None."""
        route_by_prefix = self._route_by_prefix_by_host.get(host)
        if route_by_prefix is None:
            return None
        # Prefixes end with a slash, so only the slashes of the path are tried.
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class Splitter:
    """Distributes the requests of a route over its services by weight.

    This is smooth weighted round robin: for each request the credit of every service
    grows by its weight, the service with the most credit gets the request, and its
    credit is reduced by the sum of the weights. The shares are exact within one
    request per service; random choice would be off by a tenth at a few hundred
    requests.
    """

    def __init__(self):
        self._credit_by_route = {}

    def pick(self, route):
        """Return the name of the service that gets the next request of ``route``."""
        if len(route.parts) == 1:
            return route.parts[0].service
        parts = tuple((part.service, part.weight) for part in route.parts)
        stored = self._credit_by_route.get(route.name)
        if stored is None or stored[0] != parts:
            stored = (parts, dict.fromkeys((name for name, _ in parts), 0.0))
            self._credit_by_route[route.name] = stored
        credit_by_service = stored[1]
        for name, weight in parts:
            credit_by_service[name] += weight
        chosen_service = max(credit_by_service, key=credit_by_service.get)
        credit_by_service[chosen_service] -= sum(weight for _, weight in parts)
        return chosen_service
