"""Splits addresses of the form host:port."""


def host_of(address: str) -> str:
    """Returns the host of an address."""
    return address.rpartition(":")[0]


def port_of(address: str) -> int:
    """Returns the port of an address, 0 if nothing follows the colon."""
    return int(address.rpartition(":")[2] or 0)


def has_valid_port(address: str) -> bool:
    """Whether an address has a host, and a port that can be connected to."""
    host, _, port = address.rpartition(":")
    # Bounded first, as very long numbers can't be converted.
    is_number = len(port) <= 5 and port.isascii() and port.isdigit()
    return bool(host) and is_number and 1 <= int(port) <= 65535
