//! Tests of the choice of a forwarder's address.

use super::*;
use std::net::TcpListener;

/// Guards against forwarders that end at their start because their address is in use. A process that another test starts
/// at the same time inherits the socket by which the address was chosen. Here the test itself holds that socket.
#[test]
fn forwarder_can_listen_while_the_choosing_socket_is_still_open() {
    let (socket, address) = bind_free_port(Ipv4Addr::new(127, 0, 0, 3));
    let listener = TcpListener::bind(address);
    assert!(listener.is_ok(), "expected a listener, got {listener:?}");
    drop(socket);
}
