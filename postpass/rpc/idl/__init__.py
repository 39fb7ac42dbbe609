"""The interface definition of messages between processes: `peer.thrift`."""
