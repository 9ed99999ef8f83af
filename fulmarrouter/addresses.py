"""Splits addresses of the form host:port."""


def host_of(address: str) -> str:
    """Returns the host of an address."""
    return address.rpartition(":")[0]


def port_of(address: str) -> int:
    """Returns the port of an address, 0 if nothing follows the colon."""
    return int(address.rpartition(":")[2] or 0)
