"""Finds the newest definition of a queue in a configuration."""

import collections

from fulmarrouter.cluster import model


class Definitions:
    """The queues of a configuration.

    Args:
        configuration: The configuration, or None if there is none yet.
    """

    def __init__(self, configuration: model.Configuration | None) -> None:
        queues = configuration.queues if configuration is not None else ()
        # Names need not be unique.
        counts = collections.Counter(item.name for item in queues)
        self._by_name = {
            item.name: item for item in queues if counts[item.name] == 1
        }
        self._by_location = {
            (item.host, item.path_prefix): item for item in queues
        }

    def newest(self, queue: model.Queue) -> model.Queue:
        """Returns what has become of a queue.

        A queue keeps its name when it is moved to another path, and its host and
        path prefix when it is renamed. The name decides if both are in use, unless
        several queues have it.

        Args:
            queue: The last known definition, which is returned if the queue has
                been removed.
        """
        location = (queue.host, queue.path_prefix)
        return (
            self._by_name.get(queue.name)
            or self._by_location.get(location)
            or queue
        )
